/** How a reader has to take an answer. */
export const Expected = {
  Answer: "answer",
  /** An error, before anything of the answer is passed on. */
  NoAnswer: "no_answer",
  /** An error; what came before the fault may be passed on, but never as whole. */
  NeverWhole: "never_whole",
} as const;
export type Expected = (typeof Expected)[keyof typeof Expected];

/** Bytes that a server sends as its answer. */
export interface AnswerCase {
  readonly name: string;
  /** One byte each. */
  readonly bytes: string;
  readonly expected: Expected;
  /** Status of an answer that is to be taken. */
  readonly status?: number;
  /** Part of the status line at fault, which not every parser tells. */
  readonly fault?: "version" | "reason";
  /** Has an interim head that wasn't asked for, which a reader may refuse. */
  readonly hasContinue?: boolean;
}

/** Part of each line and body at fault, which no reader may pass on. */
export const INVALID_MARK = "lost-mark";
/** Lines of a head behind which parsers leave out further ones without a word. */
export const MANY_LINES = Array.from({ length: 1_100 }, (_, at) => `a${String(at)}: 1\r\n`).join(
  "",
);

/** What the answers have besides their own. */
export interface AnswerParts {
  /** Header lines, each with its end. */
  readonly fields: string;
  /** Body of the answers that are to be taken; ASCII. */
  readonly body: string;
}

const CHUNKED = "Transfer-Encoding: chunked\r\n";
const LAST_CHUNK = "0\r\n\r\n";

const newLength = ({ body }: AnswerParts): string => `Content-Length: ${String(body.length)}\r\n`;
const newChunk = (body: string): string => `${body.length.toString(16)}\r\n${body}\r\n`;

const INVALID_STATUS_LINES: readonly (readonly [name: string, line: string])[] = [
  ...["000", "099", "20", "2000", "600", "999", "-1", "2e2", "abc", "0200", "+200", "2 0"].map(
    (status) => [`status ${status}`, `HTTP/1.1 ${status} OK`] as const,
  ),
  ["no status", "HTTP/1.1"],
  ["a reason in place of the status", "HTTP/1.1 OK"],
  ["status 101 without a request for it", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x"],
  ["no version", "HTTP/ 200 OK"],
  ["no protocol", "200 OK"],
  ["another protocol", "ICY 200 OK"],
  ["version 1", "HTTP/1 200 OK"],
  ["version 11.1", "HTTP/11.1 200 OK"],
  ["two blanks before the status", "HTTP/1.1  200 OK"],
  ["a blank before the version", " HTTP/1.1 200 OK"],
];

const BYTES: readonly (readonly [name: string, byte: string])[] = [
  ["a blank", " "],
  ["a tab", "\t"],
  ["NUL", "\u0000"],
  ["byte 1", "\u0001"],
  ["byte 7f", "\u007f"],
];

/** Lines that make a head, an interim head or trailers invalid, with what is wrong. */
export const INVALID_LINES: readonly (readonly [name: string, line: string])[] = [
  ...BYTES.map(([name, byte]) => [`${name} in a name`, `X-O${byte}dd: ${INVALID_MARK}`] as const),
  ["byte 80 in a name", `X-\u0080dd: ${INVALID_MARK}`],
  ["a separator in a name", `X(dd): ${INVALID_MARK}`],
  ["a blank before the colon", `X-Odd : ${INVALID_MARK}`],
  ["a tab before the colon", `X-Odd\t: ${INVALID_MARK}`],
  ["a folded line", `X-Odd: a\r\n ${INVALID_MARK}`],
  ["a line folded by a tab", `X-Odd: a\r\n\t${INVALID_MARK}`],
  ["no name", `: ${INVALID_MARK}`],
  ["no colon", `X-Odd-${INVALID_MARK}`],
  ...["\u0000", "\u0001", "\u0008", "\u001b", "\u007f"].map(
    (byte) =>
      [
        `byte ${byte.charCodeAt(0).toString(16)} in a value`,
        `X-Odd: a${byte}${INVALID_MARK}`,
      ] as const,
  ),
  ["a bare CR in a value", `X-Odd: a\r${INVALID_MARK}`],
  ["a bare LF in a value", `X-Odd: a\nX-More: ${INVALID_MARK}`],
];

/** Lines in place of those that tell the length of an answer. */
const newInvalidFramings = (parts: AnswerParts): (readonly [name: string, lines: string])[] => {
  const length = newLength(parts);
  const size = String(parts.body.length);
  const shorter = String(parts.body.length - 1);
  const hex = `0x${parts.body.length.toString(16)}`;
  const beyond = (2n ** 64n + BigInt(parts.body.length)).toString();
  const invalid = [
    `+${size}`,
    `${size}, ${size}`,
    `-${size}`,
    hex,
    `${size}.0`,
    "five",
    "",
    beyond,
  ];
  return [
    ...[...invalid, `${size} ${size}`].map(
      (value) => [`length "${value}"`, `Content-Length: ${value}\r\n`] as const,
    ),
    ["two lengths", `${length}Content-Length: ${shorter}\r\n`],
    ["the same length twice", `${length}${length}`],
    ["length and chunks", `${length}${CHUNKED}`],
    ["chunks and length", `${CHUNKED}${length}`],
    ...["chunked, gzip", "xchunked", "chunkedx", "gzip", "identity", "chunked, chunked", ""].map(
      (encoding) => [`encoding "${encoding}"`, `Transfer-Encoding: ${encoding}\r\n`] as const,
    ),
    ["gzip before chunks", "Transfer-Encoding: gzip, chunked\r\n"],
    ["two lines of encodings", `${CHUNKED}Transfer-Encoding: gzip\r\n`],
    ["chunked twice", `${CHUNKED}${CHUNKED}`],
  ];
};

const newInvalidChunks = (body: string): (readonly [name: string, chunks: string])[] => {
  const size = body.length.toString(16);
  const rest = `${body}\r\n${LAST_CHUNK}`;
  return [
    ["letters", `xyz\r\n${rest}`],
    ["a sign", `+${size}\r\n${rest}`],
    ["a minus", `-${size}\r\n${rest}`],
    ["a prefix", `0x${size}\r\n${rest}`],
    ["no size", `\r\n${rest}`],
    ["a blank before the size", ` ${size}\r\n${rest}`],
    ["a size beyond 64 bits", `1${size.padStart(16, "0")}\r\n${rest}`],
    ["a size that is too small", `${(body.length - 1).toString(16)}\r\n${rest}`],
    ["a size that is too large", `${(body.length + 1).toString(16)}\r\n${rest}`],
    ["a bare LF behind a size", `${size}\n${rest}`],
    ["a bare CR behind a size", `${size}\r${rest}`],
    ["letters in place of the last", `${newChunk(body)}xyz\r\n\r\n`],
  ];
};

const VALID_STATUSES = [200, 201, 226, 299, 302, 400, 451, 499, 500, 503, 599];

const newInvalidAnswers = (parts: AnswerParts): AnswerCase[] => {
  const { fields, body } = parts;
  const length = newLength(parts);
  const chunk = newChunk(body);
  const status = "HTTP/1.1 200 OK\r\n";
  const noAnswer = (name: string, bytes: string): AnswerCase => ({
    ...{ name, bytes, expected: Expected.NoAnswer },
  });
  const neverWhole = (name: string, bytes: string): AnswerCase => ({
    ...{ name, bytes, expected: Expected.NeverWhole },
  });
  return [
    ...INVALID_STATUS_LINES.map(([name, line]) =>
      noAnswer(name, `${line}\r\n${fields}${length}\r\n${body}`),
    ),
    noAnswer("no head", body),
    ...INVALID_LINES.flatMap(([name, line]) => [
      noAnswer(`${name}, in the head`, `${status}${fields}${line}\r\n${length}\r\n${body}`),
      noAnswer(
        `${name}, in an interim head`,
        `HTTP/1.1 103 Early Hints\r\n${line}\r\n\r\n${status}${fields}${length}\r\n${body}`,
      ),
      neverWhole(
        `${name}, in trailers`,
        `${status}${fields}${CHUNKED}\r\n${chunk}0\r\n${line}\r\n\r\n`,
      ),
    ]),
    noAnswer(
      "a first name that begins with a blank",
      `${status} X-Odd: ${INVALID_MARK}\r\n${fields}${length}\r\n${body}`,
    ),
    noAnswer(
      "a head whose lines end with a bare LF",
      `${status}${fields}${length}\r\n`.replaceAll("\r\n", "\n") + body,
    ),
    noAnswer(
      "more lines than parsers keep",
      `${status}${fields}${MANY_LINES}X-Odd: ${INVALID_MARK}\r\n${length}\r\n${body}`,
    ),
    ...newInvalidFramings(parts).flatMap(([name, lines]) => [
      noAnswer(`${name}, plain body`, `${status}${fields}${lines}\r\n${body}`),
      noAnswer(`${name}, chunked body`, `${status}${fields}${lines}\r\n${chunk}${LAST_CHUNK}`),
    ]),
    ...["\u0000", "\u0001", "\u007f", "\r"].map((byte) => ({
      ...noAnswer(
        `byte ${byte.charCodeAt(0).toString(16)} in the reason`,
        `HTTP/1.1 200 O${byte}${INVALID_MARK}\r\n${fields}${length}\r\n${body}`,
      ),
      fault: "reason" as const,
    })),
    ...["0.9", "2.0"].map((version) => ({
      ...noAnswer(`version ${version}`, `HTTP/${version} 200 OK\r\n${fields}${length}\r\n${body}`),
      fault: "version" as const,
    })),
    {
      ...noAnswer(
        "a chunked answer of version 1.0",
        `HTTP/1.0 200 OK\r\n${fields}${CHUNKED}\r\n${chunk}${LAST_CHUNK}`,
      ),
      fault: "version" as const,
    },
    ...newInvalidChunks(body).map(([name, chunks]) =>
      neverWhole(`chunks: ${name}`, `${status}${fields}${CHUNKED}\r\n${chunks}`),
    ),
  ];
};

const newValidAnswers = (parts: AnswerParts): AnswerCase[] => {
  const { fields, body } = parts;
  const chunk = newChunk(body);
  const answer = (name: string, bytes: string, status = 200): AnswerCase => ({
    ...{ name, bytes, status, expected: Expected.Answer },
  });
  const end = `${newLength(parts)}\r\n${body}`;
  const many = Array.from({ length: 200 }, (_, at) => `X-Field-${String(at)}: ${String(at)}\r\n`);
  return [
    ...VALID_STATUSES.map((code) =>
      answer(`status ${String(code)}`, `HTTP/1.1 ${String(code)} Odd\r\n${fields}${end}`, code),
    ),
    answer("version 1.0", `HTTP/1.0 200 OK\r\n${fields}${end}`),
    answer("an empty reason", `HTTP/1.1 200 \r\n${fields}${end}`),
    answer("a reason of other bytes", `HTTP/1.1 200 \u00e4\u00f6\r\n${fields}${end}`),
    answer("a tab in the reason", `HTTP/1.1 200 a\tb\r\n${fields}${end}`),
    answer("bytes above 7f in a value", `HTTP/1.1 200 OK\r\n${fields}X-Odd: \u00e4\u0080\u00ff\r\n${end}`),
    answer("a tab in a value", `HTTP/1.1 200 OK\r\n${fields}X-Odd: a\tb\r\n${end}`),
    answer("an empty value", `HTTP/1.1 200 OK\r\n${fields}X-Odd:\r\n${end}`),
    answer("no blank behind colons", `HTTP/1.1 200 OK\r\n${fields.replaceAll(": ", ":")}${end}`),
    answer("lower case", `HTTP/1.1 200 OK\r\n${fields.toLowerCase()}${newLength(parts).toLowerCase()}\r\n${body}`),
    answer("upper case", `HTTP/1.1 200 OK\r\n${fields}${newLength(parts).toUpperCase()}\r\n${body}`),
    answer("all bytes of tokens in a name", `HTTP/1.1 200 OK\r\n${fields}!#$%&'*+-.^_\`|~09: 1\r\n${end}`),
    answer("200 fields", `HTTP/1.1 200 OK\r\n${fields}${many.join("")}${end}`),
    {
      ...answer(
        "an unasked 100",
        `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n${fields}${end}`,
      ),
      hasContinue: true,
    },
    answer(
      "interim heads",
      `HTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 102 P\r\n\r\nHTTP/1.1 200 OK\r\n${fields}${end}`,
    ),
    answer("chunks", `HTTP/1.1 200 OK\r\n${fields}${CHUNKED}\r\n${chunk}${LAST_CHUNK}`),
    answer(
      "chunks with trailers",
      `HTTP/1.1 200 OK\r\n${fields}${CHUNKED}\r\n${chunk}0\r\nX-Sum: 1\r\n\r\n`,
    ),
  ];
}; // prettier-ignore

/** The answers that every reader is tested with. */
export const newAnswerCases = ({
  fields = "",
  body = "[1,2]",
}: Partial<AnswerParts> = {}): AnswerCase[] => {
  const parts = { fields, body };
  return [...newInvalidAnswers(parts), ...newValidAnswers(parts)];
};
