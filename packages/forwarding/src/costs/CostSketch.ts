/** Each bucket is wider than the one before by this factor, which bounds the error of a quantile. */
const GROWTH = 1.15;
const LOG_GROWTH = Math.log(GROWTH);
/** Buckets on both sides of the one around 1: from about 0.004 to 70,000. */
const BUCKETS_BELOW = 40;
const BUCKETS_ABOVE = 80;
const BUCKETS = BUCKETS_BELOW + 1 + BUCKETS_ABOVE;
/** Half-lives after which weights are scaled back, before they exceed the precision of a bucket. */
const MAX_HALF_LIVES = 16;

const getBucket = (value: number): number =>
  Math.min(BUCKETS - 1, Math.max(0, Math.round(Math.log(value) / LOG_GROWTH) + BUCKETS_BELOW));

/** Distribution of positive numbers in bounded memory; old ones lose weight by half-lives. */
export class CostSketch {
  readonly #halfLifeMs: number;
  readonly #buckets = new Float32Array(BUCKETS);
  #sum = 0;
  #baseMs: number;

  constructor(halfLifeMs: number, nowMs: number) {
    this.#halfLifeMs = halfLifeMs;
    this.#baseMs = nowMs;
  }

  /** Adds a value; anything but a positive number is left out. */
  record(value: number, nowMs: number, weight = 1): void {
    if (!(value > 0) || !Number.isFinite(value) || !(weight > 0)) {
      return;
    }
    let halfLives = (nowMs - this.#baseMs) / this.#halfLifeMs;
    if (halfLives > MAX_HALF_LIVES) {
      this.#rebase(nowMs, halfLives);
      halfLives = 0;
    }
    const added = weight * 2 ** halfLives;
    const at = getBucket(value);
    this.#buckets[at] = (this.#buckets[at] ?? 0) + added;
    this.#sum += added;
  }

  /** Number of values that still count, each with what is left of its weight. */
  getWeight(nowMs: number): number {
    return this.#sum * 2 ** ((this.#baseMs - nowMs) / this.#halfLifeMs);
  }

  /** Value below which the share `quantile` lies; undefined without values. */
  getQuantile(quantile: number): number | undefined {
    if (this.#sum <= 0) {
      return undefined;
    }
    let left = quantile * this.#sum;
    let last = 0;
    for (let at = 0; at < BUCKETS; at++) {
      const weight = this.#buckets[at] ?? 0;
      if (weight > 0) {
        last = at;
        left -= weight;
        if (left <= 0) {
          break;
        }
      }
    }
    return GROWTH ** (last - BUCKETS_BELOW);
  }

  #rebase(nowMs: number, halfLives: number): void {
    const factor = 2 ** -halfLives;
    this.#sum = 0;
    for (let at = 0; at < BUCKETS; at++) {
      const weight = (this.#buckets[at] ?? 0) * factor;
      this.#buckets[at] = weight;
      this.#sum += weight;
    }
    this.#baseMs = nowMs;
  }
}
