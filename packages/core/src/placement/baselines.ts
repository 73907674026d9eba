import { pickOne, type Random } from "../random.js";
import type { EngineView, PlacementPolicy, PlacementRequest, PoolView } from "./types.js";

type Score = (engine: EngineView) => number;

/** Returns the engine with the lowest score; on a tie, the first. */
export const findLowest = (
  engines: readonly EngineView[],
  score: Score,
): EngineView | undefined => {
  let best: EngineView | undefined;
  let bestScore = Infinity;
  for (const engine of engines) {
    const value = score(engine);
    if (value < bestScore) {
      best = engine;
      bestScore = value;
    }
  }
  return best;
};

const byRequests: Score = (engine) => engine.requests;
const byOutstandingTokens: Score = (engine) => engine.outstandingTokens;

/** Chooses an engine uniformly at random. */
export class RandomPlacement implements PlacementPolicy {
  readonly name = "random";
  readonly #random: Random;

  constructor(random: Random) {
    this.#random = random;
  }

  choose(_req: PlacementRequest, { engines }: PoolView): EngineView | undefined {
    return pickOne(this.#random, engines);
  }
}

/** Chooses the engines in turn. */
export class RoundRobinPlacement implements PlacementPolicy {
  readonly name = "round-robin";
  #next = 0;

  choose(_req: PlacementRequest, { engines }: PoolView): EngineView | undefined {
    const engine = engines[this.#next % Math.max(1, engines.length)];
    this.#next += 1;
    return engine;
  }
}

/** Chooses the engine with the fewest outstanding requests. */
export class LeastRequestsPlacement implements PlacementPolicy {
  readonly name = "least-requests";

  choose(_req: PlacementRequest, { engines }: PoolView): EngineView | undefined {
    return findLowest(engines, byRequests);
  }
}

/** Chooses the engine with the fewest outstanding tokens. */
export class LeastTokensPlacement implements PlacementPolicy {
  readonly name = "least-tokens";

  choose(_req: PlacementRequest, { engines }: PoolView): EngineView | undefined {
    return findLowest(engines, byOutstandingTokens);
  }
}

/** Samples two engines at random and chooses the one with fewer outstanding tokens. */
export class PowerOfTwoPlacement implements PlacementPolicy {
  readonly name = "power-of-two";
  readonly #random: Random;

  constructor(random: Random) {
    this.#random = random;
  }

  choose(_req: PlacementRequest, { engines }: PoolView): EngineView | undefined {
    const sampled = [pickOne(this.#random, engines), pickOne(this.#random, engines)];
    return findLowest(
      sampled.filter((engine) => engine !== undefined),
      byOutstandingTokens,
    );
  }
}

/** Dedicates a fixed quarter of the engines to long prompts and the rest to short ones. */
export class FixedSplitPlacement implements PlacementPolicy {
  readonly name = "fixed-split";
  static readonly #LONG_SHARE = 0.25;

  choose(req: PlacementRequest, { engines, longPromptTokens }: PoolView): EngineView | undefined {
    const boundary = Math.max(1, Math.round(engines.length * FixedSplitPlacement.#LONG_SHARE));
    const isLong = req.promptTokens >= longPromptTokens;
    const partition = isLong ? engines.slice(0, boundary) : engines.slice(boundary);
    return findLowest(partition.length > 0 ? partition : engines, byOutstandingTokens);
  }
}
