import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const RESOLUTION = 2 ** 31;

/** Source of random numbers; seeded in tests and tools. */
export interface Random {
  /** Uniform in [0, 1). */
  next(): number;
}

/** Seeded generator; the same seed gives the same numbers. */
export class SeededRandom implements Random {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  next(): number {
    return uniformInt(this.#generator, 0, RESOLUTION - 1) / RESOLUTION;
  }
}

/** Unseeded generator for production use. */
export class SystemRandom implements Random {
  next(): number {
    return Math.random();
  }
}

/** Uniform integer in [0, below). */
export const nextInt = (random: Random, below: number): number => Math.floor(random.next() * below);

/** Picks one item, or undefined from an empty list. */
export const pickOne = <T>(random: Random, items: readonly T[]): T | undefined =>
  items[nextInt(random, items.length)];

/** Exponentially distributed with the given mean. */
export const nextExponential = (random: Random, mean: number): number =>
  -Math.log(1 - random.next()) * mean;
