import {
  FixedSplitPlacement,
  LeastRequestsPlacement,
  LengthAwarePlacement,
  LeastTokensPlacement,
  PowerOfTwoPlacement,
  RandomPlacement,
  RoundRobinPlacement,
  type PlacementPolicy,
  type Random,
} from "@lycheepulley/core";

import type { Settings } from "./settings.js";

const POLICY_FACTORIES: Readonly<
  Record<Settings["placement"], (random: Random) => PlacementPolicy>
> = {
  random: (random) => new RandomPlacement(random),
  "round-robin": () => new RoundRobinPlacement(),
  "least-requests": () => new LeastRequestsPlacement(),
  "least-tokens": () => new LeastTokensPlacement(),
  "power-of-two": (random) => new PowerOfTwoPlacement(random),
  "fixed-split": () => new FixedSplitPlacement(),
  ours: () => new LengthAwarePlacement(),
};

/** Creates the placement policy named in the settings. */
export const newPlacementPolicy = (name: Settings["placement"], random: Random): PlacementPolicy =>
  POLICY_FACTORIES[name](random);
