/** Status line of an answer to a connection that ends on an error. */
export type ErrorAnswer = readonly [status: number, reason: string];

/** Answers to connections that end on an error, by its code. */
const ERROR_ANSWERS: Readonly<Record<string, ErrorAnswer>> = {
  HPE_HEADER_OVERFLOW: [431, "Request Header Fields Too Large"],
  ERR_HTTP_REQUEST_TIMEOUT: [408, "Request Timeout"],
};
const BAD_REQUEST = [400, "Bad Request"] as const;

/** The answer to a connection that ends on an error with this code. */
export const getErrorAnswer = (code: string | undefined): ErrorAnswer =>
  ERROR_ANSWERS[code ?? ""] ?? BAD_REQUEST;
