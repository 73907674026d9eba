/** One change of a prefix cache, numbered in order. */
export interface CacheEvent {
  readonly seq: number;
  readonly op: "add" | "evict" | "clear";
  readonly block: string;
}

/** When there are more events, the oldest half is dropped. */
const MAX_BUFFERED_EVENTS = 2_000;

/** Cache of prefix blocks that evicts the least recently used ones and records its changes. */
export class PrefixCache {
  readonly #blocks = new Set<string>();
  readonly #events: CacheEvent[] = [];
  #nextSeq = 0;

  get size(): number {
    return this.#blocks.size;
  }

  get nextSeq(): number {
    return this.#nextSeq;
  }

  /** Counts the leading blocks that are cached, and marks them as recently used. */
  touchPrefix(blocks: readonly string[]): number {
    let hits = 0;
    while (hits < blocks.length && this.#blocks.has(blocks[hits] ?? "")) {
      this.#markRecentlyUsed(blocks[hits] ?? "");
      hits += 1;
    }
    return hits;
  }

  /** Adds blocks as the most recently used, then evicts down to `capacity` blocks. */
  add(blocks: readonly string[], capacity: number): void {
    for (const block of blocks) {
      if (this.#blocks.has(block)) {
        this.#markRecentlyUsed(block);
      } else {
        this.#blocks.add(block);
        this.#record("add", block);
      }
    }
    this.shrink(capacity);
  }

  /** Evicts the least recently used blocks until at most `capacity` are left. */
  shrink(capacity: number): void {
    for (const block of this.#blocks) {
      if (this.#blocks.size <= Math.max(0, capacity)) {
        return;
      }
      this.#blocks.delete(block);
      this.#record("evict", block);
    }
  }

  clear(): void {
    this.#blocks.clear();
    this.#record("clear", "");
  }

  /** Events from `fromSeq` on; undefined if they are no longer buffered or not yet numbered. */
  getEvents(fromSeq: number): CacheEvent[] | undefined {
    const first = this.#events[0]?.seq ?? this.#nextSeq;
    return fromSeq < first || fromSeq > this.#nextSeq
      ? undefined
      : this.#events.filter((event) => event.seq >= fromSeq);
  }

  getBlocks(): string[] {
    return [...this.#blocks];
  }

  #markRecentlyUsed(block: string): void {
    this.#blocks.delete(block);
    this.#blocks.add(block);
  }

  #record(op: CacheEvent["op"], block: string): void {
    this.#events.push({ seq: this.#nextSeq, op, block });
    this.#nextSeq += 1;
    if (this.#events.length > MAX_BUFFERED_EVENTS) {
      this.#events.splice(0, MAX_BUFFERED_EVENTS / 2);
    }
  }
}
