import { sleep, type Clock, type Draft } from "@lycheepulley/core";
import { NodeState } from "@lycheepulley/nodes";
import type { Logger } from "@lycheepulley/telemetry";

import type { DutyRunner } from "../duties/DutyRunner.js";
import type { FateRecorder } from "../fates/FateRecorder.js";
import type { Membership } from "../membership/Membership.js";

const POLL_INTERVAL_MS = 50;

export interface DrainerOptions {
  readonly membership: Membership;
  readonly duties: DutyRunner;
  readonly fates: FateRecorder;
  readonly clock: Clock;
  readonly logger: Logger;
  /** How long callers cache the addresses that they were given. */
  readonly getAddressKeepMs: () => number;
  /** Longest patience of all classes. */
  readonly getLongestPatienceMs: () => number;
  readonly submitAudit: (draft: Draft) => void;
}

/** Drains a process: takes it out of service without interrupting in-flight requests. */
export class Drainer {
  readonly #options: DrainerOptions;
  #draining: Promise<void> | undefined;
  #isRedirecting = false;

  constructor(options: DrainerOptions) {
    this.#options = options;
  }

  /**
   * True once no caller should have this address cached; new requests are then redirected to another
   * process.
   */
  get isRedirecting(): boolean {
    return this.#isRedirecting;
  }

  /**
   * Announces that the process leaves and releases the duties, serves until cached addresses have expired,
   * waits for in-flight requests, and appends their fates. Further calls join the first drain.
   */
  drain(by: string): Promise<void> {
    this.#draining ??= this.#drain(by);
    return this.#draining;
  }

  async #drain(by: string): Promise<void> {
    const { membership, duties, fates, clock, logger, getAddressKeepMs, submitAudit } =
      this.#options;
    const startMs = clock.now();
    logger.info("drain started", { step: "drain", by });
    submitAudit({
      kind: "note",
      key: `drain/${membership.self}`,
      follows: null,
      body: { action: "drain", process: membership.self, by },
    });
    membership.update({ state: NodeState.Leaving });
    await Promise.all([membership.announce(), duties.release()]);
    await sleep(clock, getAddressKeepMs());
    this.#isRedirecting = true;
    await this.#waitForRequests();
    await fates.flush();
    logger.info("drain finished", { step: "drain", afterMs: Math.round(clock.now() - startMs) });
  }

  async #waitForRequests(): Promise<void> {
    const { fates, clock, getLongestPatienceMs } = this.#options;
    const untilMs = clock.now() + getLongestPatienceMs();
    while (fates.running > 0 && clock.now() < untilMs) {
      await sleep(clock, POLL_INTERVAL_MS);
    }
  }
}
