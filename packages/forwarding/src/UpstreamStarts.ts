import type { Upstream } from "./fleetConfig.js";

/** Starts remembered of upstreams that are no longer listed, which their ids outlast by far. */
const MAX_STARTS = 4_096;

/** Finds the upstreams that started again under the id that they had. */
export class UpstreamStarts {
  /** Newest start of each upstream that names it, Unix milliseconds; the last seen at the end. */
  readonly #bornMs = new Map<string, number>();

  /** Notes the starts that a list names; returns the upstreams that it names a later one of. */
  observe(upstreams: readonly Upstream[]): ReadonlySet<string> {
    const restarted = new Set<string>();
    for (const { id, bornMs } of upstreams) {
      const known = this.#bornMs.get(id);
      if (bornMs !== undefined) {
        if (known !== undefined && bornMs > known) {
          restarted.add(id);
        }
        this.#bornMs.delete(id);
        this.#bornMs.set(id, Math.max(bornMs, known ?? -Infinity));
      }
    }
    return restarted;
  }

  /** Drops the oldest starts of upstreams that aren't in use. */
  retain(inUse: ReadonlyMap<string, unknown>): void {
    for (const id of this.#bornMs.keys()) {
      if (this.#bornMs.size <= MAX_STARTS) {
        return;
      }
      if (!inUse.has(id)) {
        this.#bornMs.delete(id);
      }
    }
  }
}
