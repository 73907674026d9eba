import { AnswerEnd, ByteCollector, type Clock } from "@lycheepulley/core";
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

/**
 * Resolves with an answer and how it ended; undefined when there is none in time. A body that is too long ends
 * the call.
 */
export const fetchAnswer = (
  transport: UpstreamTransport,
  clock: Clock,
  { timeoutMs, ...req }: InterfaceQuery,
): Promise<InterfaceAnswer | undefined> =>
  new Promise((resolve) => {
    let status: number | undefined;
    const collector = new ByteCollector();
    const settle = (answer: InterfaceAnswer | undefined): void => {
      cancelTimeout();
      resolve(answer);
    };
    const newAnswer = (body: Buffer, end: AnswerEnd): InterfaceAnswer | undefined =>
      status === undefined ? undefined : { status, body, end };
    const call = transport.open(
      { ...req, connectTimeoutMs: timeoutMs },
      {
        onHead: (head) => {
          ({ status } = head);
        },
        onData: (chunk) => {
          if (collector.size + chunk.length <= MAX_BODY_BYTES) {
            collector.add(chunk);
          } else {
            call.abort();
            settle(newAnswer(Buffer.alloc(0), AnswerEnd.Cut));
          }
        },
        onEnd: ({ end }) => {
          settle(newAnswer(collector.take(), end));
        },
        onError: () => {
          settle(undefined);
        },
      },
    );
    const cancelTimeout = clock.setTimer(() => {
      call.abort();
      resolve(undefined);
    }, timeoutMs);
  });
