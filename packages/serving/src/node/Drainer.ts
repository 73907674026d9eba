import {
  ProcessState,
  sleep,
  type Clock,
  type Draft,
  type ProcessLifecycle,
} from "@lycheepulley/core";
import { NodeState } from "@lycheepulley/nodes";
import type { Logger } from "@lycheepulley/telemetry";

import type { DutyRunner } from "../duties/DutyRunner.js";
import type { FateRecorder } from "../fates/FateRecorder.js";
import type { Membership } from "../membership/Membership.js";

const POLL_INTERVAL_MS = 20;
/** Time in which callers read the last answers. */
const CLOSE_MS = 10_000;

export interface DrainerOptions {
  readonly membership: Membership;
  readonly duties: DutyRunner;
  readonly fates: FateRecorder;
  readonly clock: Clock;
  readonly lifecycle: ProcessLifecycle;
  /** Counts what the process would cut if it went on to its next state. */
  readonly countInProgress: () => number;
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

  constructor(options: DrainerOptions) {
    this.#options = options;
  }

  /**
   * True once no caller should have this address cached; new requests are then redirected to another
   * process.
   */
  get isRedirecting(): boolean {
    return this.#options.lifecycle.has(ProcessState.Draining);
  }

  /**
   * Announces that the process leaves and releases the duties, serves until cached addresses have expired,
   * waits for in-flight requests, admits no more, waits until their answers are read, and appends their
   * fates. Further calls join the first drain.
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
    await this.#passStates(getAddressKeepMs());
    await fates.flush();
    logger.info("drain finished", { step: "drain", afterMs: Math.round(clock.now() - startMs) });
  }

  async #passStates(listenMs: number): Promise<void> {
    const { lifecycle, clock, countInProgress, getLongestPatienceMs } = this.#options;
    const drainMs = listenMs + getLongestPatienceMs();
    lifecycle.leave(clock.now(), { listenMs, drainMs, closeMs: CLOSE_MS });
    do {
      const waitMs = Math.min(POLL_INTERVAL_MS, lifecycle.nextChangeMs - clock.now());
      await sleep(clock, Math.max(0, waitMs));
    } while (lifecycle.advance(clock.now(), countInProgress()) !== ProcessState.Stopped);
  }
}
