/** One change of a prefix cache. */
export interface CacheEvent {
  readonly seq: number;
  readonly op: "add" | "evict" | "clear";
  readonly block: string;
}

const KEPT_EVENTS = 2_000;

/** Least recently used prefix blocks in limited memory. */
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

  /** Number of leading blocks that are cached; they become the most recent. */
  touchPrefix(blocks: readonly string[]): number {
    let hits = 0;
    while (hits < blocks.length && this.#blocks.has(blocks[hits] ?? "")) {
      this.#refresh(blocks[hits] ?? "");
      hits += 1;
    }
    return hits;
  }

  add(blocks: readonly string[], capacity: number): void {
    for (const block of blocks) {
      if (this.#blocks.has(block)) {
        this.#refresh(block);
      } else {
        this.#blocks.add(block);
        this.#record("add", block);
      }
    }
    this.shrink(capacity);
  }

  /** Evicts the oldest blocks until at most `capacity` are left. */
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

  /** Events from `fromSeq`; undefined when they are no longer kept. */
  getEvents(fromSeq: number): CacheEvent[] | undefined {
    const first = this.#events[0]?.seq ?? this.#nextSeq;
    return fromSeq < first || fromSeq > this.#nextSeq
      ? undefined
      : this.#events.filter((event) => event.seq >= fromSeq);
  }

  getBlocks(): string[] {
    return [...this.#blocks];
  }

  #refresh(block: string): void {
    this.#blocks.delete(block);
    this.#blocks.add(block);
  }

  #record(op: CacheEvent["op"], block: string): void {
    this.#events.push({ seq: this.#nextSeq, op, block });
    this.#nextSeq += 1;
    if (this.#events.length > KEPT_EVENTS) {
      this.#events.splice(0, KEPT_EVENTS / 2);
    }
  }
}
