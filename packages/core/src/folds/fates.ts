import { z } from "zod";

/** Statuses of a request; exactly one final status is reported for each. */
export const FateState = {
  Running: "running",
  Finished: "finished",
  FailedMayHaveRun: "failed_may_have_run",
  NotRun: "not_run",
  Unknown: "unknown",
} as const;
export type FateState = (typeof FateState)[keyof typeof FateState];

/** One step of a request: name, milliseconds after acceptance, and upstream or detail. */
export const fateStepSchema = z.tuple([z.string(), z.number(), z.string()]);

export const fateSchema = z.object({
  requestId: z.string(),
  state: z.enum(FateState),
  /** Class of the request; empty before classification. */
  className: z.string(),
  customer: z.string(),
  acceptedMs: z.number(),
  endedAfterMs: z.number().optional(),
  promptTokens: z.number().optional(),
  steps: z.array(fateStepSchema),
  /** Human-readable reason for the final status. */
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

/** Compact form of a fate: id suffix, state letter, class, end, steps and reason. */
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
/** Last steps kept of a request that did not finish; of a finished one, only the last. */
const MAX_STEPS_OF_UNFINISHED = 3;
/** Process name and incarnation at the start of a request id. */
const REQUEST_ID_PREFIX_PARTS = 2;

/** Escapes what separates the steps of a compact fate. */
const escapeDetail = (detail: string): string =>
  detail.replace(/[% @]/g, (char) => `%${char.charCodeAt(0).toString(16)}`);

const unescapeDetail = (text: string): string =>
  text.replace(/%(25|20|40)/g, (_, code: string) => String.fromCharCode(parseInt(code, 16)));

/** Converts a fate to its compact form for the log; the record's writer names the process. */
export const compactFate = (fate: Fate): CompactFate => [
  fate.requestId.split(".").slice(REQUEST_ID_PREFIX_PARTS).join("."),
  LETTER_BY_STATE[fate.state],
  fate.className,
  Math.round(fate.endedAfterMs ?? 0),
  fate.steps
    .filter(([, , detail]) => detail !== "")
    .map(([step, ms, detail]) => `${step}@${String(Math.round(ms))}:${escapeDetail(detail)}`)
    .slice(fate.state === FateState.Finished ? -1 : -MAX_STEPS_OF_UNFINISHED)
    .join(" "),
  (fate.reason ?? "").slice(0, MAX_REASON_LENGTH),
];

/** Restores a fate from its compact form, which lacks the customer. */
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
        return [step, Number(ms), unescapeDetail(detail.join(":"))];
      }),
    ...(reason === "" ? {} : { reason }),
  };
};

/** Suffix of a request id that identifies its compact form. */
export const compactFateKey = (requestId: string): string =>
  requestId.split(".").slice(REQUEST_ID_PREFIX_PARTS).join(".");
