import { z } from "zod";

const logLineSchema = z.looseObject({
  requestId: z.string(),
  timestamp: z.string(),
  process: z.string(),
  message: z.string(),
});
type LogLine = z.infer<typeof logLineSchema>;

/** Fields that the text of a step omits: every line has them. */
const OMITTED_FIELDS = new Set(["requestId", "timestamp", "process", "message", "level", "step"]);

/** One log line of a request's timeline. */
export interface TimelineStep {
  readonly atMs: number;
  readonly process: string;
  readonly text: string;
}

/** What the logs of all processes say about one request, in order of time. */
export interface RequestTimeline {
  readonly requestId: string;
  readonly steps: readonly TimelineStep[];
  /** Sentence on how the request ended, or that the logs don't show it. */
  readonly end: string;
}

const OUTCOMES: Readonly<Record<string, string>> = {
  delivered: "The caller was sent the whole answer.",
  upstream_failure: "The upstream's own failure was passed on; the request ran.",
  refused: "The request was refused; it did not run and never will.",
  failed: "The request failed after it was sent to an upstream; it may have run.",
  cancelled: "The caller left before the end.",
};

const parseLine = (text: string): LogLine | undefined => {
  try {
    const parsed = logLineSchema.safeParse(JSON.parse(text.slice(Math.max(0, text.indexOf("{")))));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
};

const describeFields = (line: LogLine): string =>
  Object.entries(line)
    .filter(([name]) => !OMITTED_FIELDS.has(name))
    .map(([name, value]) => `${name} ${typeof value === "string" ? value : JSON.stringify(value)}`)
    .join(", ");

const describeOutcome = (lines: readonly LogLine[]): string => {
  if (lines.length === 0) {
    return "The logs have no lines of this request.";
  }
  const last = lines.findLast(({ message }) => message === "request ended");
  if (last) {
    return OUTCOMES[String(last["result"])] ?? `The request ended as ${String(last["result"])}.`;
  }
  const rejected = lines.find(({ message }) => message === "request rejected");
  return rejected
    ? "The request was rejected at admission; it did not run."
    : "The logs don't show how this request ended: its process died, or lines were dropped.";
};

/** Builds one request's timeline from the log lines of any processes, in any order. */
export const newRequestTimeline = (requestId: string, lines: Iterable<string>): RequestTimeline => {
  const requestLines: LogLine[] = [];
  for (const text of lines) {
    const line = text.includes(requestId) ? parseLine(text) : undefined;
    if (line?.requestId === requestId) {
      requestLines.push(line);
    }
  }
  requestLines.sort((a, b) => (a.timestamp < b.timestamp ? -1 : 1));
  const startMs = Date.parse(requestLines[0]?.timestamp ?? "");
  const steps = requestLines.map((line) => ({
    atMs: Date.parse(line.timestamp) - startMs,
    process: line.process,
    text: `${line.message}: ${describeFields(line)}`,
  }));
  return { requestId, steps, end: describeOutcome(requestLines) };
};
