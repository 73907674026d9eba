import { ProcessState, type Cancel, type Clock, type ProcessLifecycle } from "@lycheepulley/core";

import { getSearchMs } from "./draining.js";
import type { EngineSpec } from "./fleetConfig.js";
import type { LiveSend } from "./liveSend.js";
import { SendResult } from "./outcomes.js";
import type { ForwardRequest } from "./types.js";

/**
 * Ends the sends of a request with the process, and before that the search of an upstream once the
 * answer would be cut, so that another process can serve the request.
 */
export class LeaveWatch {
  readonly #clock: Clock;
  readonly #lifecycle: ProcessLifecycle;
  readonly #req: ForwardRequest;
  readonly #engine: EngineSpec | undefined;
  readonly #live: ReadonlySet<LiveSend>;
  readonly #isAnswering: () => boolean;
  #cancels: Cancel[] = [];

  constructor(options: {
    clock: Clock;
    lifecycle: ProcessLifecycle;
    req: ForwardRequest;
    engine: EngineSpec | undefined;
    /** Sends of the request that haven't ended. */
    live: ReadonlySet<LiveSend>;
    /** True for a caller that has a part of the answer: it gains nothing from an early end. */
    isAnswering: () => boolean;
  }) {
    this.#clock = options.clock;
    this.#lifecycle = options.lifecycle;
    this.#req = options.req;
    this.#engine = options.engine;
    this.#live = options.live;
    this.#isAnswering = options.isAnswering;
  }

  start(): void {
    this.#cancels.push(
      this.#lifecycle.on(ProcessState.Leaving, () => {
        this.#live.forEach((live) => {
          this.limitSearch(live);
        });
      }),
      this.#lifecycle.on(ProcessState.Closing, () => {
        this.#live.forEach(end);
      }),
    );
  }

  stop(): void {
    this.#cancels.forEach((cancel) => {
      cancel();
    });
    this.#cancels = [];
  }

  /** Ends a send that finds no upstream in time. */
  limitSearch(live: LiveSend): void {
    if (!this.#lifecycle.isLeaving) {
      return;
    }
    if (this.#lifecycle.isClosing) {
      end(live);
      return;
    }
    const leftMs = this.#lifecycle.endAtMs - this.#clock.now();
    const searchMs = getSearchMs(this.#req, this.#engine, leftMs);
    this.#cancels.push(
      this.#clock.setTimer(() => {
        if (!live.evidence && !this.#isAnswering()) {
          end(live);
        }
      }, searchMs),
    );
  }
}

const end = ({ abort }: LiveSend): void => {
  abort.abort(SendResult.Leaving);
};
