import { INVALID_LINES, MANY_LINES } from "./answers.js";

/** Bytes that a caller sends as its request. */
export interface RequestCase {
  readonly name: string;
  /** One byte each. */
  readonly bytes: string;
  readonly isValid: boolean;
}

/** Requests to a path; each body has 5 bytes. */
export const newRequestCases = (path: string, otherFields = ""): RequestCase[] => {
  const line = `POST ${path} HTTP/1.1\r\n`;
  const fields = `Host: a.example\r\n${otherFields}`;
  const length = "Content-Length: 5\r\n";
  const chunked = "Transfer-Encoding: chunked\r\n";
  const body = "[1,2]";
  const chunks = `5\r\n${body}\r\n0\r\n\r\n`;
  const lines: readonly (readonly [name: string, line: string])[] = [
    ["version 2.0", `POST ${path} HTTP/2.0`],
    ["version 0.9", `POST ${path} HTTP/0.9`],
    ["version 1.2", `POST ${path} HTTP/1.2`],
    ["no version", `POST ${path}`],
    ["an unknown method", `post ${path} HTTP/1.1`],
    ["byte 1 in the path", `POST ${path}\u0001 HTTP/1.1`],
    ["NUL in the path", `POST ${path}\u0000 HTTP/1.1`],
    ["a tab in the path", `POST ${path}\t1 HTTP/1.1`],
    ["a blank in the path", `POST ${path} 1 HTTP/1.1`],
    ["a status line", "HTTP/1.1 200 OK"],
  ];
  const lengths = ["+5", "5, 5", "-5", "0x5", "5.0", "5 5", "five", "", "18446744073709551621"];
  const encodings = [
    ...["chunked, gzip", "gzip, chunked", "xchunked", "chunkedx", "gzip", "identity"],
    ...["chunked, chunked", ""],
  ];
  const sizes = ["xyz", "+5", "-5", "0x5", "", " 5", "10000000000000005", "4", "6"];
  const invalid: readonly (readonly [name: string, bytes: string])[] = [
    ...lines.map(([name, text]) => [name, `${text}\r\n${fields}${length}\r\n${body}`] as const),
    ...INVALID_LINES.flatMap(([name, text]) => [
      [`${name}, in the head`, `${line}${fields}${text}\r\n${length}\r\n${body}`] as const,
      [
        `${name}, in trailers`,
        `${line}${fields}${chunked}\r\n5\r\n${body}\r\n0\r\n${text}\r\n\r\n`,
      ] as const,
    ]),
    ...lengths.map(
      (value) =>
        [`length "${value}"`, `${line}${fields}Content-Length: ${value}\r\n\r\n${body}`] as const,
    ),
    ...encodings.map(
      (value) =>
        [
          `encoding "${value}"`,
          `${line}${fields}Transfer-Encoding: ${value}\r\n\r\n${chunks}`,
        ] as const,
    ),
    ...sizes.map(
      (size) =>
        [
          `chunks of size "${size}"`,
          `${line}${fields}${chunked}\r\n${size}\r\n${body}\r\n0\r\n\r\n`,
        ] as const,
    ),
    ["more lines than parsers keep", `${line}${fields}${MANY_LINES}${length}\r\n${body}`],
    ["two lengths", `${line}${fields}${length}Content-Length: 4\r\n\r\n${body}`],
    ["the same length twice", `${line}${fields}${length}${length}\r\n${body}`],
    ["length and chunks", `${line}${fields}${length}${chunked}\r\n${chunks}`],
    ["chunks and length", `${line}${fields}${chunked}${length}\r\n${chunks}`],
    ["chunked twice", `${line}${fields}${chunked}${chunked}\r\n${chunks}`],
    ["chunks in version 1.0", `POST ${path} HTTP/1.0\r\n${fields}${chunked}\r\n${chunks}`],
    ["no host", `${line}${otherFields}${length}\r\n${body}`],
    ["two hosts", `${line}${fields}Host: b.example\r\n${length}\r\n${body}`],
    [
      "lines that end with a bare LF",
      `${line}${fields}${length}\r\n`.replaceAll("\r\n", "\n") + body,
    ],
  ];
  const valid: readonly (readonly [name: string, bytes: string])[] = [
    ["a length", `${line}${fields}${length}\r\n${body}`],
    ["chunks", `${line}${fields}${chunked}\r\n${chunks}`],
    ["version 1.0", `POST ${path} HTTP/1.0\r\n${fields}${length}\r\n${body}`],
    ["bytes above 7f in a value", `${line}${fields}X-Odd: \u00e4\u0080\r\n${length}\r\n${body}`],
    ["upper case", `${line}${fields}${length.toUpperCase()}\r\n${body}`],
    ["an empty line before it", `\r\n${line}${fields}${length}\r\n${body}`],
  ];
  return [
    ...invalid.map(([name, bytes]) => ({ name, bytes, isValid: false })),
    ...valid.map(([name, bytes]) => ({ name, bytes, isValid: true })),
  ];
};
