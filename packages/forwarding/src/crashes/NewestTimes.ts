/** The newest time of each key. The number of keys is bounded; the one that was set longest ago goes first. */
export class NewestTimes {
  readonly #times = new Map<string, number>();
  readonly #maxSize: number;

  constructor(maxSize: number) {
    this.#maxSize = maxSize;
  }

  get(key: string): number | undefined {
    return this.#times.get(key);
  }

  has(key: string): boolean {
    return this.#times.has(key);
  }

  /** Sets the time of a key; false when one as late is known. */
  set(key: string, ms: number): boolean {
    const before = this.#times.get(key);
    if (before !== undefined && before >= ms) {
      return false;
    }
    this.#times.delete(key);
    this.#times.set(key, ms);
    const [oldest] = this.#times.keys();
    if (this.#times.size > this.#maxSize && oldest !== undefined) {
      this.#times.delete(oldest);
    }
    return true;
  }
}
