import { getMessage, sleep, type Clock, type Random } from "@lycheepulley/core";
import {
  ReadOrder,
  SourceGenerations,
  type ConfigRecord,
  type EvacuationTracker,
  type FleetConfigTracker,
  type PeerIdentity,
  type ReaderSelection,
  type ReadPosition,
  type UpstreamList,
  type UpstreamListTracker,
} from "@lycheepulley/forwarding";
import type { Logger } from "@lycheepulley/telemetry";

import type { GatewaySources } from "./types.js";

/** Time over which processes read the peer list again after its service was restored. */
const PEERS_REREAD_SPREAD_MS = 2_000;
/** Pause before earlier configurations are read again after a failure. */
const EARLIER_CONFIGS_PAUSE_MS = 500;

/** Reads configuration, upstreams and peers while this process is one of those that read them. */
export class SourceFeed {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #sources: GatewaySources;
  readonly #logger: Logger;
  readonly #readerSelection: ReaderSelection;
  readonly #listTracker: UpstreamListTracker;
  readonly #evacuations: EvacuationTracker;
  readonly #onEvacuations: () => void;
  readonly #configTracker: FleetConfigTracker;
  readonly #onConfig: () => void;
  readonly #onUpstreams: (list: UpstreamList, sentMs: number | undefined) => void;
  readonly #onPeers: (hosts: readonly string[]) => void;
  readonly #generations = new SourceGenerations();
  readonly #listOrder: ReadOrder;
  readonly #evacuationOrder: ReadOrder;
  readonly #abort = new AbortController();
  #isLookingBack = false;
  /** When to read the peer list, which may lack this process, even if it isn't a reader. */
  #peersDueMs = Infinity;

  constructor(options: {
    clock: Clock;
    random: Random;
    sources: GatewaySources;
    logger: Logger;
    readerSelection: ReaderSelection;
    listTracker: UpstreamListTracker;
    evacuations: EvacuationTracker;
    /** Called when a read changed which failure domains are evacuated. */
    onEvacuations: () => void;
    configTracker: FleetConfigTracker;
    /** Called when a read put a configuration in force. */
    onConfig: () => void;
    /** Called with a list, and the time at which it was asked for where that is known. */
    onUpstreams: (list: UpstreamList, sentMs: number | undefined) => void;
    onPeers: (hosts: readonly string[]) => void;
  }) {
    this.#clock = options.clock;
    this.#random = options.random;
    this.#sources = options.sources;
    this.#logger = options.logger;
    this.#readerSelection = options.readerSelection;
    this.#listTracker = options.listTracker;
    this.#evacuations = options.evacuations;
    this.#onEvacuations = options.onEvacuations;
    this.#configTracker = options.configTracker;
    this.#onConfig = options.onConfig;
    this.#onUpstreams = options.onUpstreams;
    this.#onPeers = options.onPeers;
    const order = { logger: options.logger, generations: this.#generations };
    this.#listOrder = new ReadOrder({
      ...{ ...order, source: "upstream list" },
      getKnown: () => this.#listTracker.position,
    });
    this.#evacuationOrder = new ReadOrder({
      ...{ ...order, source: "evacuations" },
      getKnown: () => this.#evacuations.position,
    });
  }

  /** Records the generations of the sources that a peer states. */
  onPeer({ listGeneration, evacuations }: PeerIdentity): void {
    this.#generations.observe(listGeneration);
    this.#generations.observe(evacuations?.generation);
  }

  start(): void {
    const shouldRead = (): boolean => this.#readerSelection.isReader();
    this.#sources.evacuations?.start({
      shouldRead,
      onReadStart: () => {
        this.#evacuationOrder.onReadStart();
      },
      onRead: () => {
        this.#tellIf(this.#evacuations.onUnchanged());
      },
      onValue: (read) => {
        const list = withGeneration(read, this.#evacuationOrder);
        this.#tellIf(list !== undefined && this.#evacuations.onRead(list));
        return list !== undefined;
      },
      onConnectionChange: () => undefined,
    });
    this.#sources.config.start({
      shouldRead: () => shouldRead() || this.#evacuations.isUnconfirmed,
      onRead: () => {
        this.#readerSelection.onRead("config");
        this.#configTracker.onSourceRead();
      },
      onValue: (record) => {
        this.#applyConfig(record, "own read");
        void this.#lookBack();
      },
      onConnectionChange: this.#newConnectionLogger("configuration"),
    });
    this.#sources.upstreams.start({
      shouldRead,
      onReadStart: () => {
        this.#listOrder.onReadStart();
      },
      onRead: () => {
        this.#readerSelection.onRead("list");
      },
      onValue: (read) => {
        const list = withGeneration(read, this.#listOrder);
        if (list === undefined || this.#listTracker.isOfOlderEpoch(list)) {
          this.#readerSelection.onStaleRead("list");
        } else {
          this.#onUpstreams(list, read.sentMs);
        }
        return list !== undefined;
      },
      onConnectionChange: this.#newConnectionLogger("upstream list"),
    });
    this.#sources.peers.start({
      shouldRead: () => shouldRead() || this.#clock.now() >= this.#peersDueMs,
      onRead: () => {
        this.#peersDueMs = Infinity;
      },
      onValue: this.#onPeers,
      onConnectionChange: this.#newConnectionLogger("peer list"),
    });
  }

  /** Has this process read the peer list soon, at a time that differs between processes. */
  rereadPeers(): void {
    this.#peersDueMs = this.#clock.now() + this.#random.next() * PEERS_REREAD_SPREAD_MS;
  }

  stop(): void {
    this.#abort.abort();
    this.#sources.evacuations?.stop();
    this.#sources.config.stop();
    this.#sources.upstreams.stop();
    this.#sources.peers.stop();
  }

  #applyConfig(record: ConfigRecord, via: string): boolean {
    const isInForce = this.#configTracker.onRead(record, via);
    if (isInForce) {
      this.#onConfig();
    }
    return isInForce;
  }

  /** Puts the newest usable configuration in force that the source had before one that was refused. */
  async #lookBack(): Promise<void> {
    const { readEarlierConfigs } = this.#sources;
    const { signal } = this.#abort;
    if (!readEarlierConfigs || this.#isLookingBack) {
      return;
    }
    this.#isLookingBack = true;
    while (this.#configTracker.isNewestRefused && !signal.aborted) {
      try {
        const records = await readEarlierConfigs();
        records.find((record) => this.#applyConfig(record, "earlier record"));
        break;
      } catch (err) {
        this.#logger.warn("reading earlier configurations failed", {
          ...{ step: "config_read_back", err: getMessage(err) },
        });
        await sleep(this.#clock, EARLIER_CONFIGS_PAUSE_MS, signal);
      }
    }
    this.#isLookingBack = false;
  }

  #tellIf(haveEvacuationsChanged: boolean): void {
    if (haveEvacuationsChanged) {
      this.#onEvacuations();
    }
  }

  #newConnectionLogger(dependency: string): (isConnected: boolean, reason: string) => void {
    return (isConnected, reason) => {
      const message = isConnected
        ? "connection to dependency restored"
        : "connection to dependency lost";
      this.#logger.info(message, { step: "membership", peer: dependency, reason });
    };
  }
}

/** What was read, in the generation that the order of its source tells; undefined when it is in doubt. */
const withGeneration = <T extends ReadPosition>(
  read: T,
  order: ReadOrder,
): Omit<T, "entryVersions" | "sentMs"> | undefined => {
  const { entryVersions, sentMs, ...list } = read;
  const generation = order.getGeneration({ ...list, entryVersions, sentMs });
  return generation === undefined ? undefined : { ...list, ...(generation > 0 && { generation }) };
};
