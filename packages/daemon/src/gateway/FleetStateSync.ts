import { getMessage, ResponseTimeout, sleep, type Clock, type Random } from "@lycheepulley/core";
import {
  getListPosition,
  isEpochBefore,
  isListBefore,
  upstreamListSchema,
  type FetchedConfig,
  type FleetConfigTracker,
  type FleetView,
  type ListPosition,
  type PeerIdentity,
  type PeerTable,
  type UpstreamList,
} from "@lycheepulley/forwarding";
import { newRpcMethod, NodeClient, type NodeServer } from "@lycheepulley/nodes";
import type { Logger } from "@lycheepulley/telemetry";
import { z } from "zod";

import { RelayRole } from "./RelayTopology.js";

/** A fetch is delayed by a random time, at most this for each live peer. */
const JITTER_MS_PER_PEER = 3;
const MIN_JITTER_MS = 30;
const MIN_FETCH_TIMEOUT_MS = 700;
const MAX_FETCH_TIMEOUT_MS = 5_000;
/** Time for which a process waits for newer state within its failure domain, and between two looks. */
const DOMAIN_WAIT_MS = 400;
const DOMAIN_LOOK_MS = 50;

const fleetStateMethod = newRpcMethod(
  "fleet.state",
  z.object({ revision: z.number(), listDigest: z.string() }),
  z.object({
    /** Checked as a whole by the tracker of the configuration. */
    config: z.unknown().optional(),
    /** Time since the configuration became known; unknown to earlier builds. */
    configAgeMs: z.number().nonnegative().optional(),
    list: upstreamListSchema.optional(),
    listAgeMs: z.number().nonnegative(),
  }),
);

/** What the sync uses of the configuration in force. */
export type SyncedConfig = Pick<FleetConfigTracker, "ageMs" | "wants" | "onFetchFailed">;

/** Fetches newer configurations and upstream lists from peers that announce them in heartbeats. */
export class FleetStateSync {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #view: FleetView;
  readonly #peers: PeerTable;
  readonly #logger: Logger;
  readonly #port: number;
  readonly #onConfig: (config: FetchedConfig) => void;
  readonly #configTracker: SyncedConfig;
  readonly #onList: (list: UpstreamList, atMs: number) => void;
  readonly #onListConfirmed: (position: ListPosition, atMs: number) => void;
  readonly #onFetchFailed: () => void;
  readonly #failureDomain: string;
  readonly #getRole: () => RelayRole;
  readonly #timeout = new ResponseTimeout({
    minMs: MIN_FETCH_TIMEOUT_MS,
    maxMs: MAX_FETCH_TIMEOUT_MS,
  });
  #isFetching = false;

  constructor(options: {
    clock: Clock;
    random: Random;
    view: FleetView;
    peers: PeerTable;
    logger: Logger;
    port: number;
    onConfig: (config: FetchedConfig) => void;
    configTracker: SyncedConfig;
    /** Called with a fetched list that was current at `atMs`. */
    onList: (list: UpstreamList, atMs: number) => void;
    /** Called when a peer's heartbeat shows that the list in force was current at `atMs`. */
    onListConfirmed: (position: ListPosition, atMs: number) => void;
    /** Called when a fetch from a peer with newer state failed. */
    onFetchFailed: () => void;
    failureDomain: string;
    getRole: () => RelayRole;
  }) {
    this.#clock = options.clock;
    this.#random = options.random;
    this.#view = options.view;
    this.#peers = options.peers;
    this.#logger = options.logger;
    this.#port = options.port;
    this.#onConfig = options.onConfig;
    this.#configTracker = options.configTracker;
    this.#onList = options.onList;
    this.#onListConfirmed = options.onListConfirmed;
    this.#onFetchFailed = options.onFetchFailed;
    this.#failureDomain = options.failureDomain;
    this.#getRole = options.getRole;
  }

  /** Serves this process's configuration and upstream list to peers that lack them. */
  serve(server: NodeServer): void {
    server.handle(fleetStateMethod, ({ revision, listDigest }) => ({
      config: this.#view.revision > revision ? this.#view.table?.config : undefined,
      configAgeMs: Math.max(0, this.#configTracker.ageMs),
      list:
        listDigest === this.#view.listDigest
          ? undefined
          : { ...this.#view.list, upstreams: [...this.#view.list.upstreams] },
      listAgeMs: Math.max(0, this.#clock.now() - this.#view.listedMs),
    }));
  }

  /** Compares a peer's heartbeat with this process's state, and fetches what is newer there. */
  onPeerHeartbeat(peer: PeerIdentity): void {
    const position = getListPosition(peer);
    if (
      peer.listDigest === this.#view.listDigest &&
      peer.reads.listMs !== undefined &&
      !isEpochBefore(position, this.#view.list)
    ) {
      this.#onListConfirmed(position, this.#clock.now() - peer.reads.listMs);
    }
    if (!this.#isFetching && this.#isBehind(peer)) {
      this.#isFetching = true;
      void this.#fetchFromPeer().finally(() => {
        this.#isFetching = false;
      });
    }
  }

  #isBehind(peer: PeerIdentity): boolean {
    if (this.#configTracker.wants(peer.revision)) {
      return true;
    }
    const { list, listDigest } = this.#view;
    return peer.listDigest !== listDigest && isListBefore(list, getListPosition(peer));
  }

  #getJitterMs(): number {
    const live = this.#peers.getLive();
    switch (this.#getRole()) {
      case RelayRole.Relay:
        return MIN_JITTER_MS;
      case RelayRole.Member: {
        const near = live.filter(isInDomain(this.#failureDomain));
        return Math.max(MIN_JITTER_MS, JITTER_MS_PER_PEER * near.length);
      }
      case RelayRole.Direct:
        return Math.max(MIN_JITTER_MS, JITTER_MS_PER_PEER * live.length);
    }
  }

  /** Peers with newer state: those of this failure domain, or all when it has none in time. */
  async #findNewerPeers(): Promise<PeerIdentity[]> {
    const endMs = this.#clock.now() + DOMAIN_WAIT_MS;
    for (;;) {
      const newer = this.#peers.getLive().filter((peer) => this.#isBehind(peer));
      if (this.#getRole() !== RelayRole.Member) {
        return newer;
      }
      const near = newer.filter(isInDomain(this.#failureDomain));
      if (near.length > 0) {
        return near;
      }
      if (newer.length === 0 || this.#clock.now() >= endMs) {
        return newer;
      }
      await sleep(this.#clock, DOMAIN_LOOK_MS);
    }
  }

  /**
   * Fetches newer state from a random peer that has it. The delay spreads the
   * load: while it passes, the change reaches more peers, which can then serve it.
   */
  async #fetchFromPeer(): Promise<void> {
    await sleep(this.#clock, this.#random.next() * this.#getJitterMs());
    const newerPeers = await this.#findNewerPeers();
    const peer = newerPeers[Math.floor(this.#random.next() * newerPeers.length)];
    if (!peer) {
      return;
    }
    const origin = `http://${peer.host}:${String(this.#port)}`;
    let client: NodeClient | undefined;
    const { ms: timeoutMs } = this.#timeout;
    const startMs = this.#clock.now();
    try {
      // Throws when a heartbeat gave a host that is no address.
      client = new NodeClient({ name: peer.host, origin });
      const { revision, listDigest } = this.#view;
      const known = { revision, listDigest };
      const state = await client.call(fleetStateMethod, known, { timeoutMs });
      this.#timeout.observe(this.#clock.now() - startMs);
      this.#logger.info("fleet state fetched from peer", {
        ...{ step: "membership", peer: peer.host },
        ...{ hasConfig: state.config !== undefined, listVersion: state.list?.version },
      });
      if (state.config !== undefined) {
        const { host: from, revision: announced } = peer;
        this.#onConfig({ value: state.config, from, announced, ageMs: state.configAgeMs ?? 0 });
      }
      if (state.list) {
        this.#onList(state.list, this.#clock.now() - state.listAgeMs);
      }
    } catch (err) {
      if (this.#clock.now() - startMs >= timeoutMs) {
        this.#timeout.onTimeout();
      }
      this.#configTracker.onFetchFailed(peer.host, getMessage(err));
      this.#onFetchFailed();
      this.#logger.warn("fetching fleet state from peer failed", {
        ...{ step: "membership", peer: peer.host },
        err: getMessage(err),
      });
    } finally {
      await client?.close();
    }
  }
}

const isInDomain =
  (failureDomain: string) =>
  (peer: PeerIdentity): boolean =>
    peer.failureDomain === failureDomain;
