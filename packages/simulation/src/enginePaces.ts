import type { EngineSpec } from "@lycheepulley/forwarding";

import type { Pattern } from "./pattern.js";

/** Times of an upstream as a multiple of those that the engine's constants give. */
export const getPace = ({ paces = [1] }: Pick<Pattern, "paces">, id: string): number =>
  paces[Number(id.slice(1)) % paces.length] ?? 1;

/** The constants of an engine that takes `pace` times as long. */
export const withPace = (engine: EngineSpec, pace: number): EngineSpec => ({
  ...engine,
  stepMs: pace * engine.stepMs,
  stepMsPerSequence: pace * engine.stepMsPerSequence,
  stepMsPerThousandContext: pace * engine.stepMsPerThousandContext,
  readTokensPerMs: engine.readTokensPerMs / pace,
  msPerMillionPairs: pace * engine.msPerMillionPairs,
});
