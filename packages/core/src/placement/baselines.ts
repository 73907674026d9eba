import { pickOne, type Random } from "../random.js";
import type { EngineView, PlacementPolicy, PlacementRequest, PoolView } from "./types.js";

type Score = (engine: EngineView) => number;

/** Engine with the lowest score, the first of equals. */
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

const getRequests: Score = (engine) => engine.requests;
const getTokens: Score = (engine) => engine.outstandingTokens;

/** Any engine with equal chance. */
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

/** Each engine in turn. */
export class RoundRobinPlacement implements PlacementPolicy {
  readonly name = "round-robin";
  #next = 0;

  choose(_req: PlacementRequest, { engines }: PoolView): EngineView | undefined {
    const engine = engines[this.#next % Math.max(1, engines.length)];
    this.#next += 1;
    return engine;
  }
}

/** Engine with the fewest outstanding requests. */
export class LeastRequestsPlacement implements PlacementPolicy {
  readonly name = "least-requests";

  choose(_req: PlacementRequest, { engines }: PoolView): EngineView | undefined {
    return findLowest(engines, getRequests);
  }
}

/** Engine with the fewest outstanding tokens. */
export class LeastTokensPlacement implements PlacementPolicy {
  readonly name = "least-tokens";

  choose(_req: PlacementRequest, { engines }: PoolView): EngineView | undefined {
    return findLowest(engines, getTokens);
  }
}

/** The less loaded of two engines chosen at random. */
export class PowerOfTwoPlacement implements PlacementPolicy {
  readonly name = "power-of-two";
  readonly #random: Random;

  constructor(random: Random) {
    this.#random = random;
  }

  choose(_req: PlacementRequest, { engines }: PoolView): EngineView | undefined {
    const two = [pickOne(this.#random, engines), pickOne(this.#random, engines)];
    return findLowest(
      two.filter((engine) => engine !== undefined),
      getTokens,
    );
  }
}

/** A fixed quarter of the engines for long prompts, the rest for short ones. */
export class FixedSplitPlacement implements PlacementPolicy {
  readonly name = "fixed-split";
  static readonly #LONG_SHARE = 0.25;

  choose(req: PlacementRequest, { engines, longPromptTokens }: PoolView): EngineView | undefined {
    const boundary = Math.max(1, Math.round(engines.length * FixedSplitPlacement.#LONG_SHARE));
    const isLong = req.promptTokens >= longPromptTokens;
    const part = isLong ? engines.slice(0, boundary) : engines.slice(boundary);
    return findLowest(part.length > 0 ? part : engines, getTokens);
  }
}
