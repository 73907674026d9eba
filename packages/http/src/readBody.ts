import type { IncomingMessage } from "node:http";
import { finished } from "node:stream";

import { ByteCollector, ReadBudget, type ReadCost } from "@lycheepulley/core";

/** Bodies from this size on are kept without the room behind them. */
const COMPACT_BYTES = 16_384;
/** Share of a buffer that a body has to fill. */
const MIN_FILL = 0.8;

/** Thrown when a request's body exceeds the limit. */
export class BodyTooLargeError extends Error {
  constructor(readonly limitBytes: number) {
    super(`body exceeds ${String(limitBytes)} bytes`);
    this.name = "BodyTooLargeError";
  }
}

/** Thrown when a request's body comes in more small chunks than a sound caller makes. */
export class FloodedBodyError extends Error {
  constructor({ pieces, bytes }: ReadCost) {
    super(`body in too many small chunks: ${String(pieces)} of ${String(bytes)} bytes in all`);
    this.name = "FloodedBodyError";
  }
}

/** A body is kept as long as its request, and counted by its size. */
const compact = (bytes: Buffer): Buffer =>
  bytes.length >= COMPACT_BYTES && bytes.length < MIN_FILL * bytes.buffer.byteLength
    ? Buffer.from(bytes)
    : bytes;

/**
 * Reads a request's body of at most `limitBytes`; calls `onChunk` with each chunk. Once it rejects, nothing more is
 * read.
 */
export const readBody = (
  req: IncomingMessage,
  limitBytes: number,
  onChunk?: (chunk: Buffer) => void,
): Promise<Buffer> =>
  new Promise((resolve, reject) => {
    const collector = new ByteCollector();
    const budget = new ReadBudget();
    const check = (chunk: Buffer): void => {
      if (!budget.spend(chunk.length)) {
        throw new FloodedBodyError(budget.cost);
      }
      if (collector.size + chunk.length > limitBytes) {
        throw new BodyTooLargeError(limitBytes);
      }
      onChunk?.(chunk);
    };
    const add = (chunk: Buffer): void => {
      try {
        check(chunk);
        collector.add(chunk);
      } catch (err) {
        req.off("data", add);
        req.pause();
        reject(err instanceof Error ? err : new Error(String(err)));
      }
    };
    finished(req, { writable: false }, (err) => {
      if (err) {
        reject(err);
      } else {
        resolve(compact(collector.take()));
      }
    });
    // An iterator would join the chunks of one read of the connection.
    req.on("data", add);
  });
