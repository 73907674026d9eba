import type { Clock } from "@lycheepulley/core";
import type { UpstreamAddress, UpstreamTransport } from "@lycheepulley/forwarding";

/** A short call to an upstream's own interface. */
export interface StatusQuery extends UpstreamAddress {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly timeoutMs: number;
}

/** Resolves with the status of a whole answer; undefined when there is none in time. */
export const fetchStatus = (
  transport: UpstreamTransport,
  clock: Clock,
  { timeoutMs, ...req }: StatusQuery,
): Promise<number | undefined> =>
  new Promise((resolve) => {
    let status: number | undefined;
    const call = transport.open(
      { ...req, connectTimeoutMs: timeoutMs },
      {
        onHead: (head) => {
          ({ status } = head);
        },
        onData: () => undefined,
        onEnd: () => {
          cancelTimeout();
          resolve(status);
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
