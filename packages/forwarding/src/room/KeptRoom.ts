import type { Clock } from "@lycheepulley/core";

import type { LoadItem } from "../load.js";
import type { LoadTracker } from "../LoadTracker.js";

/** Most callers of one process that room is kept for: all are told in one message to a process that starts. */
const MAX_KEPT = 32;

/** Room that is kept for callers which are told to come back for it. */
export class KeptRoom {
  readonly #clock: Clock;
  readonly #loadTracker: LoadTracker;
  readonly #ids = new Set<string>();

  constructor(options: { clock: Clock; loadTracker: LoadTracker }) {
    this.#clock = options.clock;
    this.#loadTracker = options.loadTracker;
  }

  /** Keeps the room of a load item for this time; false for one more than may be kept. */
  keep(item: LoadItem, forMs: number): boolean {
    if (this.#ids.size >= MAX_KEPT) {
      return false;
    }
    this.#ids.add(item.id);
    this.#loadTracker.setOwn(item);
    this.#clock.setTimer(() => {
      this.end(item.id);
    }, forMs);
    return true;
  }

  /** Leaves the room to others. */
  end(id: string): void {
    if (this.#ids.delete(id)) {
      this.#loadTracker.removeOwn(id);
    }
  }
}
