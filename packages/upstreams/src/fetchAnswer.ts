import { AnswerEnd, type Clock } from "@lycheepulley/core";
import type { UpstreamAddress, UpstreamTransport } from "@lycheepulley/forwarding";

/** A short call to an upstream's own interface. */
export interface InterfaceQuery extends UpstreamAddress {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly timeoutMs: number;
}

/** Longest body that is read of an answer; a longer one counts as empty. */
const MAX_BODY_BYTES = 262_144;

/** An answer of an upstream's own interface. */
export interface InterfaceAnswer {
  readonly status: number;
  /** All that arrived. */
  readonly body: Buffer;
  /** Unless it is whole, the body counts only if it delimits itself. */
  readonly end: AnswerEnd;
}

/** Resolves with an answer and how it ended; undefined when there is none in time. */
export const fetchAnswer = (
  transport: UpstreamTransport,
  clock: Clock,
  { timeoutMs, ...req }: InterfaceQuery,
): Promise<InterfaceAnswer | undefined> =>
  new Promise((resolve) => {
    let status: number | undefined;
    const chunks: Buffer[] = [];
    let size = 0;
    const call = transport.open(
      { ...req, connectTimeoutMs: timeoutMs },
      {
        onHead: (head) => {
          ({ status } = head);
        },
        onData: (chunk) => {
          size += chunk.length;
          if (size <= MAX_BODY_BYTES) {
            chunks.push(chunk);
          }
        },
        onEnd: ({ end }) => {
          cancelTimeout();
          const isTooLong = size > MAX_BODY_BYTES;
          const body = Buffer.concat(isTooLong ? [] : chunks);
          const read = { body, end: isTooLong ? AnswerEnd.Cut : end };
          resolve(status === undefined ? undefined : { status, ...read });
        },
        onError: () => {
          cancelTimeout();
          resolve(undefined);
        },
      },
    );
    const cancelTimeout = clock.setTimer(() => {
      call.abort();
      resolve(undefined);
    }, timeoutMs);
  });
