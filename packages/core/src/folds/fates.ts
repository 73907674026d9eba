import { z } from "zod";

/** Ends of a request; exactly one is reported for each. */
export const FateState = {
  Running: "running",
  Finished: "finished",
  FailedMayHaveRun: "failed_may_have_run",
  NotRun: "not_run",
  Unknown: "unknown",
} as const;
export type FateState = (typeof FateState)[keyof typeof FateState];

/** One step on the way of a request, in milliseconds after its acceptance. */
export const fateStepSchema = z.tuple([z.string(), z.number(), z.string()]);

export const fateSchema = z.object({
  requestId: z.string(),
  state: z.enum(FateState),
  /** Class that the request was given; empty before classification. */
  className: z.string(),
  customer: z.string(),
  acceptedMs: z.number(),
  endedAfterMs: z.number().optional(),
  promptTokens: z.number().optional(),
  /** Step name, milliseconds after acceptance, and upstream or detail. */
  steps: z.array(fateStepSchema),
  /** Why it ended so, for people. */
  reason: z.string().optional(),
});
export type Fate = z.infer<typeof fateSchema>;

const LETTER_BY_STATE: Readonly<Record<FateState, string>> = {
  [FateState.Running]: "r",
  [FateState.Finished]: "f",
  [FateState.FailedMayHaveRun]: "m",
  [FateState.NotRun]: "n",
  [FateState.Unknown]: "u",
};

/** Compact line of a fate: id, state letter, class, end, steps and reason. */
export const compactFateSchema = z.tuple([
  z.string(),
  z.string(),
  z.string(),
  z.number(),
  z.string(),
  z.string(),
]);
export type CompactFate = z.infer<typeof compactFateSchema>;

const MAX_REASON_LENGTH = 60;
/** Steps kept of a request that did not finish; of one that did, the last. */
const FAILED_STEPS = 3;
const REQUEST_ID_PREFIX_LENGTH = 2;

/** Shortens a fate for the log; the writer's record names the process. */
export const compactFate = (fate: Fate): CompactFate => [
  fate.requestId.split(".").slice(REQUEST_ID_PREFIX_LENGTH).join("."),
  LETTER_BY_STATE[fate.state],
  fate.className,
  Math.round(fate.endedAfterMs ?? 0),
  fate.steps
    .filter(([, , detail]) => detail !== "")
    .map(([step, ms, detail]) => `${step}@${String(Math.round(ms))}:${detail}`)
    .slice(fate.state === FateState.Finished ? -1 : -FAILED_STEPS)
    .join(" "),
  (fate.reason ?? "").slice(0, MAX_REASON_LENGTH),
];

/** Restores a fate from its compact line. */
export const expandFate = (requestId: string, acceptedMs: number, line: CompactFate): Fate => {
  const [, letter, className, endedAfterMs, steps, reason] = line;
  const state =
    Object.values(FateState).find((candidate) => LETTER_BY_STATE[candidate] === letter) ??
    FateState.Unknown;
  return {
    requestId,
    state,
    className,
    customer: "",
    acceptedMs,
    endedAfterMs,
    steps: steps
      .split(" ")
      .filter((text) => text !== "")
      .map((text) => {
        const [step = "", rest = ""] = text.split("@");
        const [ms = "0", ...detail] = rest.split(":");
        return [step, Number(ms), detail.join(":")];
      }),
    ...(reason === "" ? {} : { reason }),
  };
};

/** Suffix of a request id under which its compact line stands. */
export const compactFateKey = (requestId: string): string =>
  requestId.split(".").slice(REQUEST_ID_PREFIX_LENGTH).join(".");
