import { getMessage, sleep, type Clock, type Random } from "@lycheepulley/core";
import {
  fleetConfigSchema,
  upstreamListSchema,
  type FleetConfig,
  type FleetView,
  type PeerIdentity,
  type UpstreamList,
} from "@lycheepulley/forwarding";
import { newRpcMethod, NodeClient, type NodeServer } from "@lycheepulley/nodes";
import type { Logger } from "@lycheepulley/telemetry";
import { z } from "zod";

/** Processes that learn of a change ask for it within this time of each other. */
const SPREAD_MS = 60;
const FETCH_TIMEOUT_MS = 700;

const fleetStateMethod = newRpcMethod(
  "fleet.state",
  z.object({}),
  z.object({
    config: fleetConfigSchema.optional(),
    list: upstreamListSchema,
    listAgeMs: z.number().nonnegative(),
  }),
);

/** Learns configuration and upstreams from peers that read them more lately. */
export class FleetSharing {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #view: FleetView;
  readonly #logger: Logger;
  readonly #port: number;
  readonly #onConfig: (config: FleetConfig) => void;
  readonly #onList: (list: UpstreamList, atMs: number) => void;
  readonly #onConfirmed: (version: number, atMs: number) => void;
  #isFetching = false;

  constructor(options: {
    clock: Clock;
    random: Random;
    view: FleetView;
    logger: Logger;
    port: number;
    onConfig: (config: FleetConfig) => void;
    /** Takes a list that was current at `atMs`. */
    onList: (list: UpstreamList, atMs: number) => void;
    /** Takes word that the list in force was current at `atMs`. */
    onConfirmed: (version: number, atMs: number) => void;
  }) {
    this.#clock = options.clock;
    this.#random = options.random;
    this.#view = options.view;
    this.#logger = options.logger;
    this.#port = options.port;
    this.#onConfig = options.onConfig;
    this.#onList = options.onList;
    this.#onConfirmed = options.onConfirmed;
  }

  /** Answers peers that ask for what this process knows. */
  serve(server: NodeServer): void {
    server.handle(fleetStateMethod, () => ({
      config: this.#view.table?.config,
      list: { ...this.#view.list, upstreams: [...this.#view.list.upstreams] },
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
      void this.#catchUp(peer).finally(() => {
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

  async #catchUp(peer: PeerIdentity): Promise<void> {
    await sleep(this.#clock, this.#random.next() * SPREAD_MS);
    if (!this.#isBehind(peer)) {
      return;
    }
    const origin = `http://${peer.host}:${String(this.#port)}`;
    const client = new NodeClient({ name: peer.host, origin });
    try {
      const state = await client.call(fleetStateMethod, {}, { timeoutMs: FETCH_TIMEOUT_MS });
      this.#logger.info("state learned from peer", {
        ...{ step: "membership", peer: peer.host },
        ...{ revision: state.config?.revision, listVersion: state.list.version },
      });
      if (state.config) {
        this.#onConfig(state.config);
      }
      this.#onList(state.list, this.#clock.now() - state.listAgeMs);
    } catch (err) {
      this.#logger.warn("peer's state not read", {
        ...{ step: "membership", peer: peer.host },
        err: getMessage(err),
      });
    } finally {
      await client.close();
    }
  }
}
