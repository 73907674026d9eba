import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";

import type { RequestHead } from "@lycheepulley/forwarding";

/** Characters of a request's target and headers. */
export const countHeaderBytes = ({ url, rawHeaders }: IncomingMessage): number =>
  rawHeaders.reduce((sum, text) => sum + text.length, url?.length ?? 0);

/** A hash that equal requests of one customer share. */
export const getFingerprint = (
  head: RequestHead,
  customer: string | undefined,
  body: Buffer,
): string =>
  createHash("sha1")
    .update(`${head.method} ${head.path} ${customer ?? ""}\n`)
    .update(body)
    .digest("base64");
