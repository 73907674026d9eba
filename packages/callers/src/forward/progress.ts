import type { IncomingMessage, ServerResponse } from "node:http";

import type { RequestHead } from "@lycheepulley/forwarding";

/** How far a request came. */
export interface AdmissionProgress {
  head: RequestHead | undefined;
  /** It was handed on, so that an upstream may have it. */
  isForwarded: boolean;
}

/** What a request without a complete answer waits for, for the log. */
export const getStage = (
  req: IncomingMessage,
  res: ServerResponse,
  { isForwarded }: Pick<AdmissionProgress, "isForwarded">,
): string => {
  if (res.headersSent) {
    return res.writableEnded ? "unread answer" : "answer";
  }
  if (isForwarded) {
    return "forwarded";
  }
  return req.complete ? "turn" : "body";
};
