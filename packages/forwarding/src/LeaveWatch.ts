import type { Cancel, Clock } from "@lycheepulley/core";

import type { EngineSpec } from "./fleetConfig.js";
import type { LiveSend } from "./liveSend.js";
import { SendResult } from "./outcomes.js";
import type { ProcessEnd } from "./ProcessEnd.js";
import type { ForwardRequest } from "./types.js";

/**
 * Ends the sends of a request with the process, and before that the search of an upstream once the
 * answer would be cut, so that another process can serve the request.
 */
export class LeaveWatch {
  readonly #clock: Clock;
  readonly #processEnd: ProcessEnd;
  readonly #req: ForwardRequest;
  readonly #engine: EngineSpec | undefined;
  readonly #live: ReadonlySet<LiveSend>;
  readonly #isAnswering: () => boolean;
  #cancels: Cancel[] = [];

  constructor(options: {
    clock: Clock;
    processEnd: ProcessEnd;
    req: ForwardRequest;
    engine: EngineSpec | undefined;
    /** Sends of the request that haven't ended. */
    live: ReadonlySet<LiveSend>;
    /** True for a caller that has a part of the answer: it gains nothing from an early end. */
    isAnswering: () => boolean;
  }) {
    this.#clock = options.clock;
    this.#processEnd = options.processEnd;
    this.#req = options.req;
    this.#engine = options.engine;
    this.#live = options.live;
    this.#isAnswering = options.isAnswering;
  }

  start(): void {
    const cancel = this.#processEnd.onKnown(() => {
      this.#live.forEach((live) => {
        this.limitSearch(live);
      });
      this.#cancels.push(
        this.#clock.setTimer(() => {
          this.#live.forEach(end);
        }, this.#processEnd.atMs - this.#clock.now()),
      );
    });
    this.#cancels.push(cancel);
  }

  stop(): void {
    this.#cancels.forEach((cancel) => {
      cancel();
    });
    this.#cancels = [];
  }

  /** Ends a send that finds no upstream in time. */
  limitSearch(live: LiveSend): void {
    if (!this.#processEnd.isKnown) {
      return;
    }
    if (this.#processEnd.atMs <= this.#clock.now()) {
      end(live);
      return;
    }
    const searchMs = this.#processEnd.getSearchMs(this.#req, this.#engine);
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
