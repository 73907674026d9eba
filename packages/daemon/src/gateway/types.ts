import type { FleetConfig, UpstreamList } from "@lycheepulley/forwarding";

/** Keeps telling of values that another system holds. */
export interface Source<T> {
  /**
   * Begins to watch while `isWanted`, but reads once in any case. `onRead` tells
   * of each answer, also when nothing changed; `onState` of a lost or regained
   * connection.
   */
  start(observer: {
    shouldRead: () => boolean;
    onRead: () => void;
    onValue: (value: T) => void;
    onConnectionChange: (isConnected: boolean, reason: string) => void;
  }): void;
  stop(): void;
}

/** Where the gateway learns what it serves. */
export interface GatewaySources {
  readonly config: Source<FleetConfig>;
  readonly upstreams: Source<UpstreamList>;
  /** Hosts of other entry processes. */
  readonly peers: Source<readonly string[]>;
}

/** Identity, addresses and bounds of one gateway process. */
export interface GatewaySettings {
  readonly name: string;
  readonly host: string;
  readonly failureDomain: string;
  /** Strength of the VM, in cores. */
  readonly capacity: number;
  readonly callerPort: number;
  readonly peerPort: number;
  readonly metricsPort: number;
  /** Hosts that may know others at the start. */
  readonly seedHosts: readonly string[];
  /** Time between the word to leave and the end of the process. */
  readonly drainMs: number;
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  readonly retrySlack: number;
  /** Time between the heartbeats of upstreams at the lister. */
  readonly upstreamBeatMs: number;
}
