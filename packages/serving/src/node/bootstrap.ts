import { sleep, type Clock, type FoldSnapshot } from "@lycheepulley/core";
import type { FoldReader } from "@lycheepulley/log";
import { snapshotMethod, type RpcClient } from "@lycheepulley/nodes";

import { CONTROL_STREAM } from "../streams.js";

/** How long a starting process waits for the log before it asks other processes. */
const PEER_FALLBACK_DELAY_MS = 2_000;
const PEER_RETRY_INTERVAL_MS = 500;
const POLL_INTERVAL_MS = 25;

/**
 * Waits until the agreed state is known from the log. While the log isn't available, takes the
 * newest snapshot that another process has.
 */
export const bootstrapFromPeers = async (options: {
  reader: FoldReader;
  clock: Clock;
  getClients: () => readonly RpcClient[];
}): Promise<void> => {
  const { reader, clock, getClients } = options;
  const firstAskMs = clock.now() + PEER_FALLBACK_DELAY_MS;
  let nextAskMs = firstAskMs;
  while (!reader.isCaughtUp) {
    if (clock.now() >= nextAskMs) {
      nextAskMs = clock.now() + PEER_RETRY_INTERVAL_MS;
      const newest = await fetchNewestSnapshot(getClients());
      if (newest) {
        reader.applyPeerSnapshot(newest);
      }
    }
    await sleep(clock, POLL_INTERVAL_MS);
  }
};

const fetchNewestSnapshot = async (
  clients: readonly RpcClient[],
): Promise<FoldSnapshot | undefined> => {
  const answers = await Promise.all(
    clients.map((client) =>
      client.call(snapshotMethod, { stream: CONTROL_STREAM }).catch(() => null),
    ),
  );
  return answers.filter((answer) => answer !== null).sort((a, b) => b.asOf - a.asOf)[0];
};
