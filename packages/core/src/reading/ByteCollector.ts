const MIN_CAPACITY_BYTES = 1_024;

/** Collects bytes in one buffer: an object for each piece would take a hundred times the memory of a tiny piece. */
export class ByteCollector {
  #bytes: Buffer = Buffer.alloc(0);
  #size = 0;

  get size(): number {
    return this.#size;
  }

  /** Adds bytes, which must not change until {@link take}. */
  add(piece: Buffer): void {
    if (this.#size === 0) {
      // Most answers come in one piece.
      this.#bytes = piece;
      this.#size = piece.length;
      return;
    }
    const size = this.#size + piece.length;
    if (size > this.#bytes.length) {
      const larger = Buffer.allocUnsafe(Math.max(MIN_CAPACITY_BYTES, 2 * size));
      this.#bytes.copy(larger, 0, 0, this.#size);
      this.#bytes = larger;
    }
    piece.copy(this.#bytes, this.#size);
    this.#size = size;
  }

  /** Returns all bytes and forgets them. */
  take(): Buffer {
    const bytes = this.#bytes.subarray(0, this.#size);
    this.#bytes = Buffer.alloc(0);
    this.#size = 0;
    return bytes;
  }
}
