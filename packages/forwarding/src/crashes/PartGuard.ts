import { getMessage, type Clock } from "@lycheepulley/core";
import type { Logger } from "@lycheepulley/telemetry";

import { pickOwner, type Members } from "../members.js";
import type { CrashEvidence } from "./CrashEvidence.js";
import type { TrialAnswer, TrialKey, TrialOwner, TrialRequest } from "./TrialOwner.js";

/** Time after which to ask an owner again that didn't answer. */
const NO_ANSWER_RETRY_MS = 1_000;

/** Asks other processes for trials of suspect parts. */
export interface TrialPeers {
  /** Asks the owner of a part; rejects when it doesn't answer in time. */
  ask(host: string, req: TrialRequest): Promise<TrialAnswer>;
  /** Tells the owner that a trial ended. */
  end(host: string, trial: TrialKey): void;
}

/** Whether a request may be sent to an upstream now. */
export type Admission =
  | { readonly kind: "free" }
  | {
      /** It is the only one with its suspect parts, until it ends. */
      readonly kind: "trial";
      readonly end: () => void;
    }
  | {
      readonly kind: "refused";
      readonly reason: string;
      /** Time after which to come back, milliseconds. */
      readonly retryMs: number;
    };

/** Decides whether requests may be sent, by the parts of their prompts that may crash upstreams. */
export class PartGuard {
  readonly evidence: CrashEvidence;
  readonly #clock: Clock;
  readonly #owner: TrialOwner;
  readonly #peers: TrialPeers;
  readonly #getMembers: () => Members;
  readonly #logger: Logger;
  #nextId = 1;

  constructor(options: {
    clock: Clock;
    evidence: CrashEvidence;
    owner: TrialOwner;
    peers: TrialPeers;
    getMembers: () => Members;
    logger: Logger;
  }) {
    this.evidence = options.evidence;
    this.#clock = options.clock;
    this.#owner = options.owner;
    this.#peers = options.peers;
    this.#getMembers = options.getMembers;
    this.#logger = options.logger;
  }

  /** True when no part of the request is suspect. */
  isFree(parts: readonly string[]): boolean {
    return this.evidence.getStanding(parts).suspects.length === 0;
  }

  /** Admits a request; one with suspect parts only as a trial, which it takes from their owners. */
  async admit(parts: readonly string[]): Promise<Admission> {
    const { suspects, blocked } = this.evidence.getStanding(parts);
    if (blocked) {
      const retryMs = blocked.untilMs - this.#clock.now();
      return { kind: "refused", reason: `prompt part ${blocked.part} is blocked`, retryMs };
    }
    if (suspects.length === 0) {
      return { kind: "free" };
    }
    const members = this.#getMembers();
    const granted: TrialKey[] = [];
    const end = (): void => {
      granted.forEach((trial) => {
        this.#end(trial, members);
      });
    };
    for (const part of suspects) {
      const trial = { part, id: `${members.self}#${String(this.#nextId++)}` };
      const { isGranted, retryMs } = await this.#ask(trial, parts, members);
      if (!isGranted) {
        end();
        return { kind: "refused", reason: `prompt part ${part} is suspected`, retryMs };
      }
      granted.push(trial);
    }
    return { kind: "trial", end };
  }

  async #ask(trial: TrialKey, parts: readonly string[], members: Members): Promise<TrialAnswer> {
    const { part } = trial;
    const owner = pickOwner(part, members);
    if (owner === members.self) {
      return this.#owner.take(owner, { ...trial, parts });
    }
    try {
      return await this.#peers.ask(owner, {
        ...{ ...trial, parts, report: this.evidence.getReport(parts) },
      });
    } catch (err) {
      this.#giveBack(owner, trial);
      this.#logger.warn("trial not granted: no answer from its owner", {
        ...{ step: "admit", part, owner, err: getMessage(err) },
      });
      return { isGranted: false, retryMs: NO_ANSWER_RETRY_MS };
    }
  }

  /** Ends a trial that the owner may have granted, or grants when the request reaches it late. */
  #giveBack(owner: string, trial: TrialKey): void {
    this.#peers.end(owner, trial);
    this.#clock.setTimer(() => {
      this.#peers.end(owner, trial);
    }, NO_ANSWER_RETRY_MS);
  }

  #end(trial: TrialKey, members: Members): void {
    const owner = pickOwner(trial.part, members);
    if (owner === members.self) {
      this.#owner.end(trial);
    } else {
      this.#peers.end(owner, trial);
    }
  }
}
