import { getMessage, sleep, type Clock } from "@lycheepulley/core";
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

/** Time in which this process's own sources may still bring what a peer knows. */
const OWN_SOURCE_MS = 150;
/** A list of upstreams older than this is taken from a peer. */
const STALE_LIST_MS = 1_500;
const FETCH_TIMEOUT_MS = 700;

const fleetStateMethod = newRpcMethod(
  "fleet.state",
  z.object({}),
  z.object({ config: fleetConfigSchema.optional(), list: upstreamListSchema }),
);

/** Learns configuration and upstreams from peers while the own sources lag behind. */
export class FleetSharing {
  readonly #clock: Clock;
  readonly #view: FleetView;
  readonly #logger: Logger;
  readonly #port: number;
  readonly #onConfig: (config: FleetConfig) => void;
  readonly #onList: (list: UpstreamList) => void;
  #isFetching = false;

  constructor(options: {
    clock: Clock;
    view: FleetView;
    logger: Logger;
    port: number;
    onConfig: (config: FleetConfig) => void;
    onList: (list: UpstreamList) => void;
  }) {
    this.#clock = options.clock;
    this.#view = options.view;
    this.#logger = options.logger;
    this.#port = options.port;
    this.#onConfig = options.onConfig;
    this.#onList = options.onList;
  }

  /** Answers peers that ask for what this process knows. */
  serve(server: NodeServer): void {
    server.handle(fleetStateMethod, () => ({
      config: this.#view.table?.config,
      list: { ...this.#view.list, upstreams: [...this.#view.list.upstreams] },
    }));
  }

  /** Compares a peer's heartbeat with what this process knows. */
  onPeer(peer: PeerIdentity): void {
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
    const isStale = this.#clock.now() - this.#view.listedMs > STALE_LIST_MS;
    return isStale && peer.listVersion > this.#view.list.version;
  }

  async #catchUp(peer: PeerIdentity): Promise<void> {
    await sleep(this.#clock, OWN_SOURCE_MS);
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
      this.#onList(state.list);
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
