import type {
  ConfigRecord,
  CrashRecords,
  EvacuationList,
  RateBounds,
  ReadPosition,
  Regions,
  UpstreamList,
} from "@lycheepulley/forwarding";

import type { LoadDecisions } from "./loadDecisions.js";

/** Watches a value that another system holds and reports its changes to one observer. */
export interface Source<T> {
  /**
   * Reads once, then goes on reading while `shouldRead` returns true. `onReadStart` is called before
   * each read is sent, `onRead` for each answer, also for one without a change, and
   * `onConnectionChange` when the connection is lost or restored. `onValue` returns false for a value
   * that may be of an older copy, which is to be read again at once.
   */
  start(observer: {
    shouldRead: () => boolean;
    onReadStart?: () => void;
    onRead: () => void;
    onValue: (value: T) => unknown;
    onConnectionChange: (isConnected: boolean, reason: string) => void;
  }): void;
  stop(): void;
}

/** Sources of the configuration, the upstreams and the peers of a gateway process. */
export interface GatewaySources {
  readonly config: Source<ConfigRecord>;
  readonly upstreams: Source<UpstreamList & ReadPosition>;
  /** Configurations that the source has held, as far as it still retains them, the newest first. */
  readonly readEarlierConfigs?: () => Promise<readonly ConfigRecord[]>;
  /** Hosts of other entry processes. */
  readonly peers: Source<readonly string[]>;
  /**
   * Failure domains that operators evacuate, read by the source of the configuration, which `onRead`
   * tells only of reads that found no change; absent where nobody requests that.
   */
  readonly evacuations?: Source<EvacuationList & ReadPosition>;
  /** Evidence on crashes that outlasts all processes; absent where nothing does. */
  readonly crashRecords?: CrashRecords;
}

/** Identity, addresses and limits of one gateway process. */
export interface GatewaySettings {
  readonly name: string;
  readonly host: string;
  readonly failureDomain: string;
  /** Regions of the failure domains, which homes of routes and customers name. */
  readonly regions?: Regions;
  /** Size of the VM, in cores. */
  readonly capacity: number;
  /** Memory of the VM, megabytes; undefined when it isn't known. */
  readonly memoryMb?: number | undefined;
  readonly callerPort: number;
  readonly peerPort: number;
  readonly metricsPort: number;
  /** Hosts that heartbeats go to at the start, and whose gossip names other peers. */
  readonly seedHosts: readonly string[];
  /** Time between the start of a drain and the end of the process, milliseconds. */
  readonly drainMs: number;
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  readonly retrySlack: number;
  /** Time between the heartbeats by which upstreams stay on the upstream list, milliseconds. */
  readonly upstreamBeatMs: number;
  /** How far the sends to a cold upstream may exceed its rate; the default's when absent. */
  readonly rateBounds?: RateBounds | undefined;
  /** Load decisions that the deployment switched on. */
  readonly decisions?: LoadDecisions;
}
