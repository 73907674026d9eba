import type { IncomingMessage } from "node:http";

import { readBody } from "@lycheepulley/http";

const MAX_BODY_BYTES = 64_000_000;

/** Value of a header that is sent once; undefined if it is missing. */
export const getHeader = (req: IncomingMessage, name: string): string | undefined => {
  const value = req.headers[name];
  return typeof value === "string" ? value : undefined;
};

/** Reads and parses a JSON request body. */
export const readJson = async (req: IncomingMessage): Promise<unknown> =>
  JSON.parse((await readBody(req, MAX_BODY_BYTES)).toString());

/** Number of tokens in an exported segment; its handle is `engine/reservation/tokens`. */
export const getSegmentTokens = (handle: string): number => Number(handle.split("/").at(-1) ?? 0);
