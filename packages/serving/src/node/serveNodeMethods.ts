import type { FoldReader } from "@lycheepulley/log";
import {
  claimEndMethod,
  claimMethod,
  drainMethod,
  fateMethod,
  snapshotMethod,
  statusMethod,
  upstreamsMethod,
  type RpcRegistrar,
} from "@lycheepulley/nodes";

import type { ClaimShard } from "../claims/ClaimShard.js";
import type { FateRecorder } from "../fates/FateRecorder.js";
import type { Membership } from "../membership/Membership.js";
import type { PoolRouter } from "../scheduler/PoolRouter.js";
import { CONTROL_STREAM } from "../streams.js";
import type { StatusReporter } from "./StatusReporter.js";

/** Registers the handlers of all methods that other entry processes and operators call. */
export const serveNodeMethods = (options: {
  server: RpcRegistrar;
  membership: Membership;
  pools: PoolRouter;
  reader: FoldReader;
  fates: FateRecorder;
  status: StatusReporter;
  getShard: (shard: number) => ClaimShard;
  onDrain: (by: string) => void;
}): void => {
  const { server, membership, pools, reader, fates, status, getShard, onDrain } = options;
  membership.serve(server);
  pools.serve(server);
  server.handle(claimMethod, ({ shard, request, waitMs }) =>
    getShard(shard).claim(request, waitMs),
  );
  server.handle(claimEndMethod, async ({ shard, waitMs, ...end }) => ({
    done: await getShard(shard).end(end, waitMs),
  }));
  server.handle(snapshotMethod, ({ stream }) =>
    stream === CONTROL_STREAM && reader.isCaughtUp ? reader.fold.getSnapshot() : null,
  );
  server.handle(fateMethod, ({ requestId }) => fates.getFate(requestId) ?? null);
  server.handle(statusMethod, () => status.getStatus());
  server.handle(upstreamsMethod, () => status.getUpstreams());
  server.handle(drainMethod, ({ by }) => {
    onDrain(by);
    return { accepted: true };
  });
};
