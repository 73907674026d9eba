import { getPassMs } from "./engineModel.js";
import type { EngineSpec } from "./fleetConfig.js";
import type { UpstreamLoad } from "./load.js";

/** How the answer is expected to be decoded. */
export interface DecodePlan {
  /** Time of a pass at the decoder, at its pace, milliseconds. */
  readonly passMs: number;
  readonly pace: number;
  readonly tokensPerPass: number;
  /** Time of the answer after its first event, milliseconds. */
  readonly writeMs: number;
}

/** How a candidate is expected to decode the answer of a prompt. */
export const newDecodePlan = (
  engine: EngineSpec,
  {
    promptTokens,
    outputTokens,
    stretch = 1,
  }: { readonly promptTokens: number; readonly outputTokens: number; readonly stretch?: number },
  { load, pace = 1 }: { readonly load: UpstreamLoad; readonly pace?: number },
): DecodePlan => {
  const { stepsPerPass } = engine;
  const passMs =
    pace * getPassMs(engine, load.decoding + 1, load.contextTokens + promptTokens + outputTokens);
  const passes = Math.max(0, Math.ceil(outputTokens / stepsPerPass) - 1);
  return { passMs, pace, tokensPerPass: stepsPerPass, writeMs: stretch * passes * passMs };
};
