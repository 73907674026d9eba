import { sleep, type Clock, type FoldSnapshot } from "@lycheepulley/core";
import type { FoldReader } from "@lycheepulley/log";
import { snapshotMethod, type RpcClient } from "@lycheepulley/nodes";

import { CONTROL_STREAM } from "../streams.js";

/** How long a starting process waits for the log before it asks its peers. */
const LOG_PATIENCE_MS = 2_000;
const RETRY_MS = 500;
const POLL_MS = 25;

/** Waits until the agreed state is known, from the log or from the newest peer. */
export const bootstrapFromPeers = async (options: {
  reader: FoldReader;
  clock: Clock;
  getCallers: () => readonly RpcClient[];
}): Promise<void> => {
  const { reader, clock, getCallers } = options;
  const askFromMs = clock.now() + LOG_PATIENCE_MS;
  let nextAskMs = askFromMs;
  while (!reader.isCaughtUp) {
    if (clock.now() >= nextAskMs) {
      nextAskMs = clock.now() + RETRY_MS;
      const newest = await fetchNewest(getCallers());
      if (newest) {
        reader.mutateWithPeerSnapshot(newest);
      }
    }
    await sleep(clock, POLL_MS);
  }
};

const fetchNewest = async (callers: readonly RpcClient[]): Promise<FoldSnapshot | undefined> => {
  const answers = await Promise.all(
    callers.map((caller) =>
      caller.call(snapshotMethod, { stream: CONTROL_STREAM }).catch(() => null),
    ),
  );
  return answers.filter((answer) => answer !== null).sort((a, b) => b.asOf - a.asOf)[0];
};
