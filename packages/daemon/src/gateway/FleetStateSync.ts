import { getMessage, sleep, type Clock, type Random } from "@lycheepulley/core";
import {
  fleetConfigSchema,
  upstreamListSchema,
  type FleetConfig,
  type FleetView,
  type PeerIdentity,
  type PeerTable,
  type UpstreamList,
} from "@lycheepulley/forwarding";
import { newRpcMethod, NodeClient, type NodeServer } from "@lycheepulley/nodes";
import type { Logger } from "@lycheepulley/telemetry";
import { z } from "zod";

/** Processes that learn of a change ask for it within this time a peer. */
const SPREAD_MS_PER_PEER = 3;
const MIN_SPREAD_MS = 30;
const FETCH_TIMEOUT_MS = 700;

const fleetStateMethod = newRpcMethod(
  "fleet.state",
  z.object({ revision: z.number(), listDigest: z.string() }),
  z.object({
    config: fleetConfigSchema.optional(),
    list: upstreamListSchema.optional(),
    listAgeMs: z.number().nonnegative(),
  }),
);

/** Learns configuration and upstreams from peers that read them more lately. */
export class FleetStateSync {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #view: FleetView;
  readonly #peers: PeerTable;
  readonly #logger: Logger;
  readonly #port: number;
  readonly #onConfig: (config: FleetConfig) => void;
  readonly #onList: (list: UpstreamList, atMs: number) => void;
  readonly #onConfirmed: (version: number, atMs: number) => void;
  readonly #onFailed: () => void;
  #isFetching = false;

  constructor(options: {
    clock: Clock;
    random: Random;
    view: FleetView;
    peers: PeerTable;
    logger: Logger;
    port: number;
    onConfig: (config: FleetConfig) => void;
    /** Takes a list that was current at `atMs`. */
    onList: (list: UpstreamList, atMs: number) => void;
    /** Takes word that the list in force was current at `atMs`. */
    onConfirmed: (version: number, atMs: number) => void;
    /** A peer that is ahead didn't tell what it knows. */
    onFailed: () => void;
  }) {
    this.#clock = options.clock;
    this.#random = options.random;
    this.#view = options.view;
    this.#peers = options.peers;
    this.#logger = options.logger;
    this.#port = options.port;
    this.#onConfig = options.onConfig;
    this.#onList = options.onList;
    this.#onConfirmed = options.onConfirmed;
    this.#onFailed = options.onFailed;
  }

  /** Answers peers that ask for what this process knows. */
  serve(server: NodeServer): void {
    server.handle(fleetStateMethod, ({ revision, listDigest }) => ({
      config: this.#view.revision > revision ? this.#view.table?.config : undefined,
      list:
        listDigest === this.#view.listDigest
          ? undefined
          : { ...this.#view.list, upstreams: [...this.#view.list.upstreams] },
      listAgeMs: Math.max(0, this.#clock.now() - this.#view.listedMs),
    }));
  }

  /** Compares a peer's heartbeat with what this process knows. */
  onPeer(peer: PeerIdentity): void {
    if (peer.listDigest === this.#view.listDigest && peer.reads.listMs !== undefined) {
      this.#onConfirmed(peer.listVersion, this.#clock.now() - peer.reads.listMs);
    }
    if (!this.#isFetching && this.#isBehind(peer)) {
      this.#isFetching = true;
      void this.#catchUp().finally(() => {
        this.#isFetching = false;
      });
    }
  }

  #isBehind(peer: PeerIdentity): boolean {
    if (peer.revision > this.#view.revision) {
      return true;
    }
    const { list, listDigest } = this.#view;
    return peer.listDigest !== listDigest && peer.listVersion > list.version;
  }

  /** Asks one of the peers that are ahead, whose number grows while a change spreads. */
  async #catchUp(): Promise<void> {
    const spreadMs = Math.max(MIN_SPREAD_MS, SPREAD_MS_PER_PEER * this.#peers.getLive().length);
    await sleep(this.#clock, this.#random.next() * spreadMs);
    const ahead = this.#peers.getLive().filter((peer) => this.#isBehind(peer));
    const peer = ahead[Math.floor(this.#random.next() * ahead.length)];
    if (!peer) {
      return;
    }
    const origin = `http://${peer.host}:${String(this.#port)}`;
    const client = new NodeClient({ name: peer.host, origin });
    try {
      const { revision, listDigest } = this.#view;
      const known = { revision, listDigest };
      const state = await client.call(fleetStateMethod, known, { timeoutMs: FETCH_TIMEOUT_MS });
      this.#logger.info("state learned from peer", {
        ...{ step: "membership", peer: peer.host },
        ...{ revision: state.config?.revision, listVersion: state.list?.version },
      });
      if (state.config) {
        this.#onConfig(state.config);
      }
      if (state.list) {
        this.#onList(state.list, this.#clock.now() - state.listAgeMs);
      }
    } catch (err) {
      this.#onFailed();
      this.#logger.warn("peer's state not read", {
        ...{ step: "membership", peer: peer.host },
        err: getMessage(err),
      });
    } finally {
      await client.close();
    }
  }
}
