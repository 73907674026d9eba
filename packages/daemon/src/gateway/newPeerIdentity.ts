import {
  getPeerState,
  type EvacuationTracker,
  type FleetView,
  type PeerIdentity,
  type ReaderSelection,
} from "@lycheepulley/forwarding";

import type { GatewaySettings } from "./types.js";

/** What a process states of itself in its heartbeats. */
export const newPeerIdentity = (process: {
  settings: GatewaySettings;
  incarnation: number;
  isReady: boolean;
  isDraining: boolean;
  view: FleetView;
  evacuations: EvacuationTracker;
  readerSelection: ReaderSelection;
}): Omit<PeerIdentity, "beatMs"> => {
  const { settings, view, incarnation } = process;
  const { host, failureDomain, capacity, callerPort } = settings;
  return {
    ...{ host, failureDomain, capacity, incarnation },
    callerAddress: `${host}:${String(callerPort)}`,
    state: getPeerState(process),
    revision: view.revision,
    ...(view.list.generation !== undefined && { listGeneration: view.list.generation }),
    ...{ listEpoch: view.list.epoch, listVersion: view.list.version },
    ...{ listDigest: view.listDigest, evacuations: process.evacuations.statement },
    reads: process.readerSelection.getAges(),
  };
};
