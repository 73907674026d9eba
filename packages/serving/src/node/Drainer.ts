import { sleep, type Clock, type Draft } from "@lycheepulley/core";
import { NodeState } from "@lycheepulley/nodes";
import type { Logger } from "@lycheepulley/telemetry";

import type { DutyRunner } from "../duties/DutyRunner.js";
import type { FateRecorder } from "../fates/FateRecorder.js";
import type { Membership } from "../membership/Membership.js";

const POLL_MS = 50;

export interface DrainerOptions {
  readonly membership: Membership;
  readonly duties: DutyRunner;
  readonly fates: FateRecorder;
  readonly clock: Clock;
  readonly logger: Logger;
  /** How long callers keep an answer with addresses. */
  readonly getAddressKeepMs: () => number;
  /** Longest time that a class gives its requests. */
  readonly getLongestPatienceMs: () => number;
  readonly submitAudit: (draft: Draft) => void;
}

/** Leads a process out of service without cutting a request off. */
export class Drainer {
  readonly #options: DrainerOptions;
  #draining: Promise<void> | undefined;
  #isHandingOn = false;

  constructor(options: DrainerOptions) {
    this.#options = options;
  }

  /** True once callers must no longer know this address; late comers are handed on. */
  get isHandingOn(): boolean {
    return this.#isHandingOn;
  }

  /** Leaves the addresses, serves through the time they are kept, finishes, hands over. */
  drain(by: string): Promise<void> {
    this.#draining ??= this.#drain(by);
    return this.#draining;
  }

  async #drain(by: string): Promise<void> {
    const {
      membership,
      duties,
      fates,
      clock,
      logger,
      getAddressKeepMs: getKeepMs,
      submitAudit,
    } = this.#options;
    const startMs = clock.now();
    logger.info("leaving", { step: "drain", by });
    submitAudit({
      kind: "note",
      key: `drain/${membership.self}`,
      follows: null,
      body: { action: "drain", process: membership.self, by },
    });
    membership.update({ state: NodeState.Leaving });
    await Promise.all([membership.announce(), duties.release()]);
    await sleep(clock, getKeepMs());
    this.#isHandingOn = true;
    await this.#waitForRequests();
    await fates.flush();
    logger.info("left", { step: "drain", afterMs: Math.round(clock.now() - startMs) });
  }

  async #waitForRequests(): Promise<void> {
    const { fates, clock, getLongestPatienceMs } = this.#options;
    const untilMs = clock.now() + getLongestPatienceMs();
    while (fates.running > 0 && clock.now() < untilMs) {
      await sleep(clock, POLL_MS);
    }
  }
}
