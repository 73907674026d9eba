import { DEFAULT_CALLER_LIMITS, type FleetConfig, type Route } from "@lycheepulley/forwarding";

import type { Pattern, PromptClass } from "./pattern.js";

/** Pool of all upstreams of a simulated fleet. */
export const POOL = "engines";

/** Route of one class of prompts. */
export const newRoute = (prompt: PromptClass): Route => ({
  ...{ name: prompt.name, host: "fleet.example", pathPrefix: `/${prompt.name}/` },
  ...{ repeat: "at_most_once", isStream: true, isResumable: true, isPublic: true, priority: 1 },
  ...{ timeoutMs: prompt.deadlineMs, targetMs: prompt.targetMs, maxGapMs: prompt.maxGapMs },
  ...{ pools: [{ pool: POOL, weight: 1 }], maxAttempts: 2 },
});

/** Configuration of a pattern's fleet. */
export const newFleetConfig = ({
  classes,
  engine,
  cold,
}: Pick<Pattern, "classes" | "engine" | "cold">): FleetConfig => ({
  revision: 1,
  routes: classes.map((prompt) => newRoute(prompt)),
  pools: [{ ...{ name: POOL, engine }, ...(cold?.isKnown && { coldStart: cold }) }],
  limits: DEFAULT_CALLER_LIMITS,
});
