import { z } from "zod";

const lineSchema = z.looseObject({
  requestId: z.string(),
  timestamp: z.string(),
  process: z.string(),
  message: z.string(),
});
type Line = z.infer<typeof lineSchema>;

/** Fields that every line has, or that its first words already tell. */
const COMMON_FIELDS = new Set(["requestId", "timestamp", "process", "message", "level", "step"]);

/** One step of a request's story. */
export interface TimelineStep {
  readonly atMs: number;
  readonly process: string;
  readonly text: string;
}

/** What the logs tell of one request. */
export interface RequestTimeline {
  readonly requestId: string;
  readonly steps: readonly TimelineStep[];
  /** The end in words; says so when the logs hold none. */
  readonly end: string;
}

const ENDS: Readonly<Record<string, string>> = {
  delivered: "The caller was sent the whole answer.",
  upstream_failure: "The upstream's own failure was passed on; the request ran.",
  refused: "The request was refused; it did not run and never will.",
  failed: "The request failed after it was sent to an upstream; it may have run.",
  cancelled: "The caller left before the end.",
};

const parseLine = (text: string): Line | undefined => {
  try {
    const parsed = lineSchema.safeParse(JSON.parse(text.slice(Math.max(0, text.indexOf("{")))));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
};

const describeFields = (line: Line): string =>
  Object.entries(line)
    .filter(([name]) => !COMMON_FIELDS.has(name))
    .map(([name, value]) => `${name} ${typeof value === "string" ? value : JSON.stringify(value)}`)
    .join(", ");

const describeEnd = (lines: readonly Line[]): string => {
  if (lines.length === 0) {
    return "The logs tell nothing of this request.";
  }
  const last = lines.findLast(({ message }) => message === "request ended");
  if (last) {
    return ENDS[String(last["result"])] ?? `The request ended as ${String(last["result"])}.`;
  }
  const rejected = lines.find(({ message }) => message === "request rejected");
  return rejected
    ? "The request was rejected at the door; it did not run."
    : "The logs hold no end of this request: its process died, or lines were dropped.";
};

/** Collects one request's story from lines of any processes' logs, in any order. */
export const newRequestTimeline = (requestId: string, lines: Iterable<string>): RequestTimeline => {
  const found: Line[] = [];
  for (const text of lines) {
    const line = text.includes(requestId) ? parseLine(text) : undefined;
    if (line?.requestId === requestId) {
      found.push(line);
    }
  }
  found.sort((a, b) => (a.timestamp < b.timestamp ? -1 : 1));
  const startMs = Date.parse(found[0]?.timestamp ?? "");
  const steps = found.map((line) => ({
    atMs: Date.parse(line.timestamp) - startMs,
    process: line.process,
    text: `${line.message}: ${describeFields(line)}`,
  }));
  return { requestId, steps, end: describeEnd(found) };
};
