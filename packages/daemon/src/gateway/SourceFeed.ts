import type { Clock, Random } from "@lycheepulley/core";
import type {
  EvacuationTracker,
  FleetConfigTracker,
  ReaderSelection,
  UpstreamList,
  UpstreamListTracker,
} from "@lycheepulley/forwarding";
import type { Logger } from "@lycheepulley/telemetry";

import type { GatewaySources } from "./types.js";

/** Time over which processes read the peer list again after its service was restored. */
const PEERS_REREAD_SPREAD_MS = 2_000;

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
  readonly #onUpstreams: (list: UpstreamList) => void;
  readonly #onPeers: (hosts: readonly string[]) => void;
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
    onUpstreams: (list: UpstreamList) => void;
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
  }

  start(): void {
    const shouldRead = (): boolean => this.#readerSelection.isReader();
    this.#sources.evacuations?.start({
      shouldRead,
      onRead: () => {
        this.#tellIf(this.#evacuations.onUnchanged());
      },
      onValue: (list) => {
        this.#tellIf(this.#evacuations.onRead(list));
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
        if (this.#configTracker.onRead(record)) {
          this.#onConfig();
        }
      },
      onConnectionChange: this.#newConnectionLogger("configuration"),
    });
    this.#sources.upstreams.start({
      shouldRead,
      onRead: () => {
        this.#readerSelection.onRead("list");
      },
      onValue: (list) => {
        if (this.#listTracker.isOfOlderEpoch(list)) {
          this.#readerSelection.onStaleRead("list");
        } else {
          this.#onUpstreams(list);
        }
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
    this.#sources.evacuations?.stop();
    this.#sources.config.stop();
    this.#sources.upstreams.stop();
    this.#sources.peers.stop();
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
