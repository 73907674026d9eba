import type { Clock, Random } from "@lycheepulley/core";
import {
  LossWatch,
  UpstreamWatch,
  type FleetView,
  type LimitedControl,
  type UpstreamHealth,
} from "@lycheepulley/forwarding";
import type { Logger } from "@lycheepulley/telemetry";

import type { DetourConnector } from "./DetourConnector.js";
import type { PeerExchange } from "./PeerExchange.js";

/** Find upstreams that are dead to new requests, and those that are lost with the ones in progress. */
export interface UpstreamWatches {
  readonly watch: UpstreamWatch;
  readonly losses: LossWatch;
}

/** Returns the watches of a process, which tell its peers what they find. */
export const newUpstreamWatches = (options: {
  clock: Clock;
  random: Random;
  view: FleetView;
  health: UpstreamHealth;
  logger: Logger;
  connector: Pick<DetourConnector, "accepts">;
  control: Pick<LimitedControl, "probe">;
  peers: Pick<PeerExchange, "notifyUpstream">;
}): UpstreamWatches => {
  const { connector, control, peers } = options;
  return {
    watch: new UpstreamWatch({
      ...options,
      probe: (upstream) => connector.accepts(upstream),
      tellPeers: (upstream) => {
        peers.notifyUpstream("dead", upstream);
      },
    }),
    losses: new LossWatch({
      ...options,
      probe: (upstream) => control.probe(upstream),
      tellPeers: (startId) => {
        peers.notifyUpstream("lost", startId);
      },
    }),
  };
};
