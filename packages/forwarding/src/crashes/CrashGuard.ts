import { getMessage, type Clock } from "@lycheepulley/core";
import type { Logger } from "@lycheepulley/telemetry";

import { pickOwner, type Members } from "../members.js";
import { SuspectKind } from "./assessLosses.js";
import type { CrashEvidence, Standing } from "./CrashEvidence.js";
import type { TrialAnswer, TrialKey, TrialOwner, TrialRequest } from "./TrialOwner.js";

/** Time after which to ask an owner again that didn't answer. */
const NO_ANSWER_RETRY_MS = 1_000;

/** Asks other processes for trials of what is suspect. */
export interface TrialPeers {
  /** Asks the owner of a part or a request; rejects when it doesn't answer in time. */
  ask(host: string, req: TrialRequest): Promise<TrialAnswer>;
  /** Tells the owner that a trial ended. */
  end(host: string, trial: TrialKey): void;
}

/** Whether a request may be sent to an upstream now. */
export type Admission =
  | { readonly kind: "free" }
  | {
      /** It is the only one with what is suspect in it, until it ends. */
      readonly kind: "trial";
      readonly end: () => void;
    }
  | {
      readonly kind: "refused";
      readonly reason: string;
      /** Time after which to come back, milliseconds. */
      readonly retryMs: number;
    };

const getBlockReason = ({ key, kind }: NonNullable<Standing["blocked"]>): string =>
  kind === SuspectKind.Part ? `prompt part ${key} is blocked` : "blocked: it crashed its upstreams";

/** Decides whether requests may be sent, by what crashed upstreams before. */
export class CrashGuard {
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

  /** True when neither the request nor one of its parts is suspect. */
  isFree(parts: readonly string[], request?: string): boolean {
    return this.evidence.getStanding(parts, request).suspects.length === 0;
  }

  /** Admits a request; one with something suspect only as a trial, which it takes from the owners. */
  async admit(parts: readonly string[], request?: string): Promise<Admission> {
    const { suspects, blocked } = this.evidence.getStanding(parts, request);
    if (blocked) {
      const retryMs = blocked.untilMs - this.#clock.now();
      return { kind: "refused", reason: getBlockReason(blocked), retryMs };
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
    for (const key of suspects) {
      const trial = { key, id: `${members.self}#${String(this.#nextId++)}` };
      const { isGranted, retryMs } = await this.#ask({ ...trial, parts, request }, members);
      if (!isGranted) {
        end();
        const name = key === request ? "request" : `prompt part ${key}`;
        return { kind: "refused", reason: `${name} is suspected`, retryMs };
      }
      granted.push(trial);
    }
    return { kind: "trial", end };
  }

  async #ask(trial: Omit<TrialRequest, "report">, members: Members): Promise<TrialAnswer> {
    const { key, parts, request } = trial;
    const owner = pickOwner(key, members);
    if (owner === members.self) {
      return this.#owner.take(owner, trial);
    }
    try {
      const keys = request === undefined ? parts : [...parts, request];
      return await this.#peers.ask(owner, { ...trial, report: this.evidence.getReport(keys) });
    } catch (err) {
      this.#giveBack(owner, trial);
      this.#logger.warn("trial not granted: no answer from its owner", {
        ...{ step: "admit", key, owner, err: getMessage(err) },
      });
      return { isGranted: false, retryMs: NO_ANSWER_RETRY_MS };
    }
  }

  /** Ends a trial that the owner may have granted, or grants when the request reaches it late. */
  #giveBack(owner: string, { key, id }: TrialKey): void {
    this.#peers.end(owner, { key, id });
    this.#clock.setTimer(() => {
      this.#peers.end(owner, { key, id });
    }, NO_ANSWER_RETRY_MS);
  }

  #end(trial: TrialKey, members: Members): void {
    const owner = pickOwner(trial.key, members);
    if (owner === members.self) {
      this.#owner.end(trial);
    } else {
      this.#peers.end(owner, trial);
    }
  }
}
