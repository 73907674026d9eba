import type { Logger } from "@lycheepulley/telemetry";

import { isSameEpoch, type ListPosition } from "./listPosition.js";

/**
 * Answers in a row that contradict what was known when they were asked for, after which the service
 * has begun again. A single one may come from an older copy.
 */
const MIN_CONTRADICTIONS = 3;

/** Newest generation of the services' log that this process has seen, or heard of from a peer. */
export class SourceGenerations {
  #newest = 0;

  get newest(): number {
    return this.#newest;
  }

  /** Records a generation that a peer states. */
  observe(generation: number | undefined): void {
    this.#newest = Math.max(this.#newest, generation ?? 0);
  }

  /** Begins the next generation. */
  rise(): number {
    this.#newest += 1;
    return this.#newest;
  }
}

/** What an answer tells of its place in the log of the service. */
export interface ReadPosition extends ListPosition {
  /** Version at which each entry was written; absent where that isn't known. */
  readonly entryVersions?: ReadonlyMap<string, number> | undefined;
  /** Monotonic time at which the call that was answered was sent; absent where that isn't known. */
  readonly sentMs?: number | undefined;
}

/** True unless `after` shows that the log isn't the one that `before` was read from. */
const continues = (before: ReadPosition, after: ReadPosition): boolean => {
  if (after.version < before.version) {
    return false;
  }
  const { entryVersions } = before;
  return (
    !entryVersions ||
    [...(after.entryVersions ?? [])].every(
      ([key, version]) => version >= before.version || entryVersions.get(key) === version,
    )
  );
};

/**
 * Tells the generation of each read of one source. A service whose answers are linearizable never
 * answers with less than was known, here or at a peer, when the read was sent. If it goes on to do so, it has
 * begun again, and its versions start anew in the next generation.
 */
export class ReadOrder {
  readonly #source: string;
  readonly #logger: Logger;
  readonly #generations: SourceGenerations;
  readonly #getKnown: () => ListPosition | undefined;
  /** What was known when the read in progress was sent. */
  #sent: { readonly generation: number; readonly known: ListPosition | undefined };
  #last: ReadPosition | undefined;
  /** Last answer that contradicts what was known, and how many there were in a row. */
  #contradiction: { readonly read: ReadPosition; readonly count: number } | undefined;

  constructor(options: {
    source: string;
    logger: Logger;
    generations: SourceGenerations;
    /** Newest position in force, whichever process read it. */
    getKnown: () => ListPosition | undefined;
  }) {
    this.#source = options.source;
    this.#logger = options.logger;
    this.#generations = options.generations;
    this.#getKnown = options.getKnown;
    this.#sent = { generation: 0, known: undefined };
  }

  /** Records that a read is sent. */
  onReadStart(): void {
    const known = this.#getKnown();
    const generation = Math.max(this.#generations.newest, known?.generation ?? 0);
    this.#sent = { generation, known };
  }

  /**
   * Generation of the answer to the read that was sent last; undefined for an answer that may be of an
   * older copy, which is to be read again at once.
   */
  getGeneration(read: ReadPosition): number | undefined {
    const { generation } = this.#sent;
    const position = { ...read, generation };
    const before = this.#findContradicted(position);
    if (!before) {
      this.#contradiction = undefined;
      this.#last = position;
      return generation;
    }
    const earlier = this.#contradiction;
    const count = earlier && continues(earlier.read, position) ? earlier.count + 1 : 1;
    if (count < MIN_CONTRADICTIONS) {
      this.#contradiction = { read: position, count };
      this.#log("answer older than what is known", before, position);
      return undefined;
    }
    this.#contradiction = undefined;
    this.#generations.observe(generation);
    const next = { ...read, generation: this.#generations.rise() };
    this.#last = next;
    this.#log("source began again", before, next);
    return next.generation;
  }

  /** What was known when the read was sent and can't be of the same log. */
  #findContradicted(read: ReadPosition): ReadPosition | undefined {
    return [this.#sent.known, this.#last].find(
      (before) => before !== undefined && isSameEpoch(before, read) && !continues(before, read),
    );
  }

  #log(message: string, before: ListPosition, read: ListPosition): void {
    this.#logger.warn(message, {
      ...{ step: "membership", source: this.#source, generation: read.generation },
      ...{ epoch: read.epoch, version: read.version },
      ...{ generationBefore: before.generation ?? 0, versionBefore: before.version },
    });
  }
}
