import type { ForwardServer } from "@lycheepulley/callers";
import { sleep, type Clock } from "@lycheepulley/core";
import { LISTENER_CLOSE_DELAY_MS } from "@lycheepulley/forwarding";
import type { Logger } from "@lycheepulley/telemetry";

const POLL_MS = 50;

/**
 * Closes the listener once callers no longer use its address, and waits for what is in flight, also
 * connections that are relayed for peers. Resolves when none is left, or after `drainMs`.
 */
export const closeAndDrain = async (options: {
  clock: Clock;
  logger: Logger;
  drainMs: number;
  reason: string;
  listener: Pick<ForwardServer, "requests" | "connections" | "close">;
  relays: { readonly open: number };
}): Promise<void> => {
  const { clock, logger, drainMs, reason, listener, relays } = options;
  const startMs = clock.now();
  logger.info("drain started", { step: "stop", reason });
  await sleep(clock, Math.min(LISTENER_CLOSE_DELAY_MS, drainMs));
  listener.close();
  while (clock.now() < startMs + drainMs && listener.requests + relays.open > 0) {
    await sleep(clock, POLL_MS);
  }
  const { size, unused, partial } = listener.connections;
  logger.info("drain finished", {
    ...{ step: "stop", inFlight: listener.requests, relays: relays.open },
    ...{ connections: size, unused, partial, ms: Math.round(clock.now() - startMs) },
  });
};
