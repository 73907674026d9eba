/** Statuses of a final answer. */
const MIN_STATUS = 200;
const MAX_STATUS = 599;
/** Names of fields are tokens (RFC 9110, 5.6.2). */
const NAME = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
/** Bytes that no value and no reason may have: all control bytes but the tab. */
const CONTROL = /[\u0000-\u0008\u000a-\u001f\u007f]/;
/** Lengths that a number tells apart. */
const LENGTH = /^\d{1,15}$/;

/** The runtime's parser keeps this many fields, and may leave out any further ones without a word. */
const MAX_FIELDS = 1_000;

/** What makes an answer invalid before its body is looked at. */
export const AnswerFault = {
  /** Its head, or bytes in place of one. */
  Head: "head",
  /** What frames its body. */
  Framing: "framing",
  /** Its body comes in more small pieces than any answer has. */
  Flood: "flood",
  /** Its body is longer than any answer. */
  Length: "length",
} as const;
export type AnswerFault = (typeof AnswerFault)[keyof typeof AnswerFault];

/** The head of a final answer as it came in. */
export interface ReceivedHead {
  readonly status: number;
  /** Undefined where the parser doesn't tell it. */
  readonly version?: string | undefined;
  readonly reason?: string | undefined;
  /** Names and values in turn. */
  readonly fields: readonly string[];
}

const findFieldFault = (fields: readonly string[]): string | undefined => {
  if (fields.length >= 2 * MAX_FIELDS) {
    return `${String(MAX_FIELDS)} fields or more`;
  }
  for (let at = 0; at < fields.length; at += 2) {
    const name = fields[at] ?? "";
    if (!NAME.test(name)) {
      return `field name ${JSON.stringify(name)}`;
    }
    if (CONTROL.test(fields[at + 1] ?? "")) {
      return `control byte in ${name}`;
    }
  }
  return undefined;
};

const getValues = (fields: readonly string[], name: string): string[] =>
  fields.filter((_, at) => at % 2 === 1 && fields[at - 1]?.toLowerCase() === name);

/** No other coding than "chunked" could be taken off a body. */
const findFramingFault = ({
  version,
  fields,
}: Omit<ReceivedHead, "status">): string | undefined => {
  const lengths = getValues(fields, "content-length");
  const encodings = getValues(fields, "transfer-encoding");
  if (lengths.length + encodings.length > 1) {
    return "more than one length or encoding";
  }
  if (lengths.some((length) => !LENGTH.test(length))) {
    return "content-length";
  }
  const isFramed = encodings.every((encoding) => encoding.toLowerCase() === "chunked");
  return isFramed && (encodings.length === 0 || version !== "1.0")
    ? undefined
    : "transfer-encoding";
};

const findMessageFault = (head: Omit<ReceivedHead, "status">): string | undefined => {
  const { version } = head;
  return version !== undefined && version !== "1.1" && version !== "1.0"
    ? `version ${version}`
    : (findFieldFault(head.fields) ?? findFramingFault(head));
};

/** Finds what makes the head of a request invalid; undefined when it is valid. */
export const findRequestFault = (
  head: Pick<ReceivedHead, "version" | "fields">,
): string | undefined =>
  getValues(head.fields, "host").length > 1 ? "more than one host" : findMessageFault(head);

/**
 * Finds what makes the head of a final answer invalid; undefined when it is valid. Nothing of an answer
 * with an invalid head may be taken: its sender is in trouble, or another reader sees another body.
 */
export const findHeadFault = (head: ReceivedHead): string | undefined => {
  const { status, reason = "" } = head;
  if (!Number.isInteger(status) || status < MIN_STATUS || status > MAX_STATUS) {
    return `status ${String(status)}`;
  }
  return CONTROL.test(reason) ? "control byte in the reason" : findMessageFault(head);
};
