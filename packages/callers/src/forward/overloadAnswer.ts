import type { ServerResponse } from "node:http";

import type { Rejection } from "./AdmissionPolicy.js";

const MS_PER_S = 1_000;

/** Rejects work that has waited too long for this process. */
export const OVERLOADED: Rejection = {
  status: 503,
  message: "not run: this process is overloaded",
};

const BODY = JSON.stringify({ error: { message: OVERLOADED.message } });

/** The whole answer to a connection that is rejected before its request is read. */
export const newOverloadAnswer = (retryAfterMs: number): string =>
  [
    ...["HTTP/1.1 503 Service Unavailable", "Content-Type: application/json"],
    ...[
      `Content-Length: ${String(BODY.length)}`,
      `Retry-After: ${String(retryAfterMs / MS_PER_S)}`,
    ],
    ...["Connection: close", "", BODY],
  ].join("\r\n");

/** Rejects a request on a connection that stays open unless it `closes`. */
export const sendOverloadAnswer = (
  res: ServerResponse,
  retryAfterMs: number,
  closes: boolean,
): void => {
  res.writeHead(OVERLOADED.status, [
    ...["Content-Type", "application/json", "Content-Length", String(BODY.length)],
    ...["Retry-After", String(retryAfterMs / MS_PER_S)],
    ...(closes ? ["Connection", "close"] : []),
  ]);
  res.end(BODY);
};
