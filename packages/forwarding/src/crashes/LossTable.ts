import { isWithdrawn, joinLosses, type LostUpstream } from "./assessLosses.js";
import { NewestTimes } from "./NewestTimes.js";

const MAX_LOST_UPSTREAMS = 200;
const MAX_PARTS_PER_UPSTREAM = 64;
const MAX_REQUESTS_PER_UPSTREAM = 128;
const MAX_ANSWERED_UPSTREAMS = 4_096;

/** What a report changed. */
export interface MergedLoss {
  readonly loss: LostUpstream;
  /** It names more than before, or whether it counts has changed. */
  readonly isNews: boolean;
}

/** Lost upstreams, as told by all processes. Merges don't depend on order, and repeats change nothing. */
export class LossTable {
  readonly #lost = new Map<string, LostUpstream>();
  /** Upstreams by the newest sending time of a request that they answered. */
  readonly #answered = new NewestTimes(MAX_ANSWERED_UPSTREAMS);
  /** Losses by the parts and requests that they name. */
  #byKey: Map<string, LostUpstream[]> | undefined;

  get all(): LostUpstream[] {
    return [...this.#lost.values()];
  }

  get size(): number {
    return this.#lost.size;
  }

  /** Records an answer to a request that was sent at `sentMs`; the loss that it withdraws, if there is one. */
  recordAnswer(upstream: string, sentMs: number): LostUpstream | undefined {
    this.#answered.set(upstream, sentMs);
    const loss = this.#lost.get(upstream);
    return loss && !isWithdrawn(loss) && sentMs > loss.atMs ? loss : undefined;
  }

  /** Joins a report with the earlier ones of the upstream. */
  merge(report: LostUpstream): MergedLoss {
    const { upstream } = report;
    const known = this.#lost.get(upstream);
    const answered = { ...report, answeredMs: this.#answered.get(upstream) };
    const joined = [report, ...(known ? [known] : [])].reduce(joinLosses, answered);
    const loss = {
      ...joined,
      parts: joined.parts.slice(0, MAX_PARTS_PER_UPSTREAM),
      requests: joined.requests.slice(0, MAX_REQUESTS_PER_UPSTREAM),
    };
    this.#lost.set(upstream, loss);
    this.#byKey = undefined;
    const isNews =
      known?.parts.length !== loss.parts.length ||
      known.requests.length !== loss.requests.length ||
      isWithdrawn(known) !== isWithdrawn(loss);
    return { loss, isNews };
  }

  /** Losses that name a part or a request. */
  getNaming(key: string): readonly LostUpstream[] {
    this.#byKey ??= indexByKey(this.#lost.values());
    return this.#byKey.get(key) ?? [];
  }

  /** Keeps of each loss what `select` returns, and drops one of which nothing is left; true if any changed. */
  retain(select: (loss: LostUpstream) => LostUpstream): boolean {
    let hasChanged = false;
    for (const loss of this.#lost.values()) {
      const kept = select(loss);
      const names = kept.parts.length + kept.requests.length;
      if (names === 0) {
        this.#lost.delete(loss.upstream);
        hasChanged = true;
      } else if (names < loss.parts.length + loss.requests.length) {
        this.#lost.set(loss.upstream, kept);
        hasChanged = true;
      }
    }
    this.#byKey = hasChanged ? undefined : this.#byKey;
    return hasChanged;
  }

  /** Keeps the number of losses bounded; the oldest goes first, and those of `isWorthMore` last. */
  limit(isWorthMore: (loss: LostUpstream) => boolean): void {
    if (this.#lost.size <= MAX_LOST_UPSTREAMS) {
      return;
    }
    const dropped = this.all.find((loss) => !isWorthMore(loss)) ?? this.all[0];
    if (dropped) {
      this.#lost.delete(dropped.upstream);
      this.#byKey = undefined;
    }
  }
}

const indexByKey = (losses: Iterable<LostUpstream>): Map<string, LostUpstream[]> => {
  const byKey = new Map<string, LostUpstream[]>();
  for (const loss of losses) {
    for (const key of [...loss.parts, ...loss.requests]) {
      const naming = byKey.get(key) ?? [];
      naming.push(loss);
      byKey.set(key, naming);
    }
  }
  return byKey;
};
