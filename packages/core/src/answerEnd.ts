/** How a peer ended its side of a connection. */
export const Closing = {
  /** It didn't, or how isn't known. */
  Unknown: "unknown",
  /** The peer sent all that it had to send. */
  Orderly: "orderly",
  /** The connection broke; bytes before that may be missing. */
  Reset: "reset",
} as const;
export type Closing = (typeof Closing)[keyof typeof Closing];

/** What tells the end of an answer's body from that of its connection. */
export const Framing = {
  Length: "length",
  Chunks: "chunks",
  /** The answer has no body. */
  NoBody: "no_body",
  /** Nothing: the body ends with its connection. */
  None: "none",
} as const;
export type Framing = (typeof Framing)[keyof typeof Framing];

/** How an answer ended. */
export const AnswerEnd = {
  /** All of it arrived. */
  Whole: "whole",
  /** A part is missing. */
  Cut: "cut",
  /** Nothing tells a whole answer from a part. */
  Unknown: "unknown",
} as const;
export type AnswerEnd = (typeof AnswerEnd)[keyof typeof AnswerEnd];

/** How an answer ended, with what shows it. */
export interface EndReport {
  readonly end: AnswerEnd;
  readonly framing: Framing;
  readonly closing: Closing;
}

/** Statuses of answers that never have a body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
const CHUNKED_LAST = /(^|,)\s*chunked\s*$/i;

/** Headers by lower-case name. */
export type IndexedHeaders = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Framing of an answer by its head and the method of its request. */
export const getFraming = (
  method: string,
  { status, headers }: { readonly status: number; readonly headers: IndexedHeaders },
): Framing => {
  if (method === "HEAD" || BODILESS_STATUSES.has(status)) {
    return Framing.NoBody;
  }
  const encoding = headers["transfer-encoding"];
  if (encoding !== undefined) {
    return CHUNKED_LAST.test(String(encoding)) ? Framing.Chunks : Framing.None;
  }
  return headers["content-length"] === undefined ? Framing.None : Framing.Length;
};

/**
 * Decides how an answer ended. `isComplete` is the parser's word: all that the framing promises was read,
 * or, without framing, the connection has ended. The end of a connection alone never makes an answer whole: it ends in the
 * same way when the peer's process does.
 */
export const newEndReport = (evidence: {
  readonly framing: Framing;
  readonly closing: Closing;
  readonly isComplete: boolean;
}): EndReport => {
  const { framing, closing, isComplete } = evidence;
  return { framing, closing, end: getAnswerEnd(framing, closing, isComplete) };
};

const getAnswerEnd = (framing: Framing, closing: Closing, isComplete: boolean): AnswerEnd => {
  if (!isComplete) {
    return AnswerEnd.Cut;
  }
  if (framing !== Framing.None) {
    return AnswerEnd.Whole;
  }
  return closing === Closing.Reset ? AnswerEnd.Cut : AnswerEnd.Unknown;
};
