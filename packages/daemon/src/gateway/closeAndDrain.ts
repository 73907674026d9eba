import { sleep, type Clock } from "@lycheepulley/core";
import { LISTENER_CLOSE_DELAY_MS } from "@lycheepulley/forwarding";

const POLL_MS = 50;

/**
 * Closes the listener once callers no longer use its address, and waits for what is in flight, also
 * connections that are relayed for peers. Resolves when none is left, or after `drainMs`.
 */
export const closeAndDrain = async (options: {
  clock: Clock;
  drainMs: number;
  listener: { close(): void };
  countInFlight: () => number;
}): Promise<void> => {
  const { clock, drainMs, listener, countInFlight } = options;
  const endMs = clock.now() + drainMs;
  await sleep(clock, Math.min(LISTENER_CLOSE_DELAY_MS, drainMs));
  listener.close();
  while (clock.now() < endMs && countInFlight() > 0) {
    await sleep(clock, POLL_MS);
  }
};
