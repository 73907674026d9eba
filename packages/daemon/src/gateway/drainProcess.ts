import type { ForwardServer } from "@lycheepulley/callers";
import { ProcessState, sleep, type Clock, type ProcessLifecycle } from "@lycheepulley/core";
import { LISTENER_CLOSE_DELAY_MS, type Forwarder } from "@lycheepulley/forwarding";
import type { Logger } from "@lycheepulley/telemetry";

const POLL_MS = 20;
/** Time for answers after the last send has ended. */
const CLOSE_MS = 150;

/**
 * Drains a process as its life cycle decides, and acts on each state: the listener closes once callers
 * no longer use its address, then everything in progress ends, also connections that are relayed for
 * peers, and at last all connections are closed. Resolves when the process may exit.
 */
export const drainProcess = async (options: {
  clock: Clock;
  logger: Logger;
  lifecycle: ProcessLifecycle;
  drainMs: number;
  reason: string;
  /** Callers may have been directed to this process. */
  isKnown: boolean;
  listener: Pick<ForwardServer, "requests" | "connections" | "close" | "closeUnused" | "destroy">;
  relays: { readonly open: number };
  forwarder: Pick<Forwarder, "releasing">;
}): Promise<void> => {
  const { clock, logger, lifecycle, drainMs, reason, isKnown, listener, relays } = options;
  const countInProgress = (): number =>
    listener.connections.countInProgress() + relays.open + options.forwarder.releasing;
  lifecycle.on(ProcessState.Draining, () => {
    listener.close();
  });
  lifecycle.on(ProcessState.Closing, () => {
    const { size, unused, partial } = listener.connections;
    logger.info("drain finished", {
      ...{ step: "stop", inFlight: listener.requests, relays: relays.open },
      ...{ connections: size, unused, partial },
      ms: Math.round(clock.now() - lifecycle.leftAtMs),
    });
    listener.closeUnused();
  });
  logger.info("drain started", { step: "stop", reason, isKnown });
  const listenMs = isKnown ? LISTENER_CLOSE_DELAY_MS : 0;
  lifecycle.leave(clock.now(), { listenMs, drainMs, closeMs: CLOSE_MS });
  for (;;) {
    const leftMs = lifecycle.nextChangeMs - clock.now();
    await sleep(clock, lifecycle.has(ProcessState.Draining) ? Math.min(POLL_MS, leftMs) : leftMs);
    if (lifecycle.advance(clock.now(), countInProgress()) === ProcessState.Stopped) {
      break;
    }
  }
  listener.destroy();
};
