import { sleep, type Cancel, type Clock } from "@lycheepulley/core";
import type { Logger } from "@lycheepulley/telemetry";

import { getStartId, type Upstream } from "./fleetConfig.js";
import type { FleetView } from "./FleetView.js";

/** Probes in a row without an answer after which an upstream that isn't listed any more is lost. */
const MAX_FAILED_PROBES = 2;
/** Time from one probe to the next after one without an answer; reports are cached for nearly as long. */
const RETRY_MS = 320;
/** The same after an answer: the upstream serves on for some time after it has left the list. */
const RECHECK_MS = 1_000;
/** Interval at which an upstream is probed whose silent sends hold memory elsewhere. */
const SILENCE_CHECK_MS = 700;
/** Silence to probes after which an upstream is lost as soon as it leaves the list. */
const CERTAIN_SILENCE_MS = 600;

/** A send in progress at an upstream. */
export interface WatchedSend {
  /** Monotonic time at which the last bytes of the answer arrived; `-Infinity` before the first. */
  readonly heardMs: number;
  /** Memory is reserved for it at other upstreams, which they have back sooner when its loss is known at once. */
  readonly holdsMemory: boolean;
  /** Called once, when the upstream is lost. */
  onLost(reason: string): void;
}

/** One start of an upstream, with the sends that are in progress there. */
interface Watched {
  readonly upstream: Upstream;
  /** Other upstreams that were listed at its address before. */
  readonly neighbors: ReadonlySet<string>;
  readonly sends: Set<WatchedSend>;
  isProbed: boolean;
  /** It is probed as long as sends hold memory. */
  isChecked: boolean;
  /** Monotonic time of the first probe without an answer, since which nothing was heard. */
  silentSinceMs: number | undefined;
  /** The peer that found it lost. */
  toldBy: string | undefined;
}

/**
 * Tells sends that their upstream is lost. That it doesn't answer this process is no proof: it may be cut off from it
 * alone. It is lost when another start took its place, or when it is silent and has left the list as well, where
 * its own heartbeats keep it.
 */
export class LossWatch {
  readonly #clock: Clock;
  readonly #view: FleetView;
  readonly #logger: Logger;
  readonly #probe: (upstream: Upstream) => Promise<boolean>;
  readonly #tellPeers: (startId: string) => void;
  readonly #watched = new Map<string, Watched>();
  readonly #stopped = new AbortController();

  constructor(options: {
    clock: Clock;
    view: FleetView;
    logger: Logger;
    /** Asks an upstream whether it is alive. Never rejects. */
    probe: (upstream: Upstream) => Promise<boolean>;
    /** Tells the peers that a start of an upstream is lost. */
    tellPeers: (startId: string) => void;
  }) {
    this.#clock = options.clock;
    this.#view = options.view;
    this.#logger = options.logger;
    this.#probe = options.probe;
    this.#tellPeers = options.tellPeers;
  }

  stop(): void {
    this.#stopped.abort();
  }

  /** Watches the upstream of a send until the returned function is called. */
  watch(upstream: Upstream, send: WatchedSend): Cancel {
    const startId = getStartId(upstream);
    const watched = this.#watched.get(startId) ?? this.#newWatched(upstream);
    this.#watched.set(startId, watched);
    watched.sends.add(send);
    if (send.holdsMemory && !watched.isChecked) {
      void this.#checkSilence(watched);
    }
    return () => {
      watched.sends.delete(send);
      if (watched.sends.size === 0 && this.#watched.get(startId) === watched) {
        this.#watched.delete(startId);
      }
    };
  }

  /** Looks for lost upstreams in a list that was put in force. */
  onList(): void {
    if (this.#watched.size === 0) {
      return;
    }
    const byAddress = groupByAddress(this.#view.upstreams.values());
    for (const watched of this.#watched.values()) {
      const { upstream, neighbors } = watched;
      const listed = this.#view.upstreams.get(upstream.id);
      const isSuperseded = (byAddress.get(getAddress(upstream)) ?? []).some(
        ({ id }) => id !== upstream.id && !neighbors.has(id),
      );
      if (listed && getStartId(listed) !== getStartId(upstream)) {
        this.#lose(watched, "started again");
      } else if (isSuperseded) {
        this.#lose(watched, "another upstream has its address");
      } else if (!listed && this.#isSilent(watched)) {
        this.#lose(watched, "silent and not listed");
      } else if (!listed) {
        void this.#confirm(watched);
      }
    }
  }

  /** Probes an upstream that a peer found lost, whose word counts like the list, which may be older here. */
  recordPeer(startId: string, peer: string): void {
    const watched = this.#watched.get(startId);
    if (watched) {
      watched.toldBy = peer;
      void this.#confirm(watched);
    }
  }

  #newWatched(upstream: Upstream): Watched {
    const address = getAddress(upstream);
    const neighbors = [...this.#view.upstreams.values()].filter(
      (one) => one.id !== upstream.id && getAddress(one) === address,
    );
    return {
      ...{ upstream, neighbors: new Set(neighbors.map(({ id }) => id)) },
      ...{ sends: new Set(), isProbed: false, toldBy: undefined },
      ...{ isChecked: false, silentSinceMs: undefined },
    };
  }

  /** Probes a silent upstream while its sends hold memory, so that the list needs no further probe. */
  async #checkSilence(watched: Watched): Promise<void> {
    const { sends } = watched;
    const { signal } = this.#stopped;
    watched.isChecked = true;
    await sleep(this.#clock, SILENCE_CHECK_MS, signal);
    while ([...sends].some(({ holdsMemory }) => holdsMemory) && !signal.aborted) {
      const askedMs = this.#clock.now();
      const isHeard = getHeardMs(watched) >= askedMs - SILENCE_CHECK_MS;
      const isAlive = isHeard || (await this.#probe(watched.upstream));
      const isSilent = !isAlive && getHeardMs(watched) < askedMs;
      watched.silentSinceMs = isSilent ? (watched.silentSinceMs ?? askedMs) : undefined;
      await sleep(this.#clock, SILENCE_CHECK_MS, signal);
    }
    watched.isChecked = false;
  }

  #isSilent(watched: Watched): boolean {
    const { silentSinceMs = Infinity } = watched;
    const isLong = this.#clock.now() - silentSinceMs >= CERTAIN_SILENCE_MS;
    return isLong && getHeardMs(watched) < silentSinceMs;
  }

  /** Probes an upstream until it is lost, listed again, or has no sends any more. */
  async #confirm(watched: Watched): Promise<void> {
    const { upstream, sends } = watched;
    const { signal } = this.#stopped;
    if (watched.isProbed) {
      return;
    }
    watched.isProbed = true;
    let failed = 0;
    do {
      const askedMs = this.#clock.now();
      const isAlive = await this.#probe(upstream);
      failed = isAlive || getHeardMs(watched) >= askedMs ? 0 : failed + 1;
      if (failed >= (watched.toldBy === undefined ? MAX_FAILED_PROBES : 1)) {
        this.#lose(watched, "silent and not listed");
        return;
      }
      const pauseMs = failed > 0 ? askedMs + RETRY_MS - this.#clock.now() : RECHECK_MS;
      await sleep(this.#clock, Math.max(0, pauseMs), signal);
    } while (sends.size > 0 && !this.#view.upstreams.has(upstream.id) && !signal.aborted);
    watched.isProbed = false;
    watched.toldBy = undefined;
  }

  #lose(watched: Watched, reason: string): void {
    const { upstream, sends, toldBy } = watched;
    const startId = getStartId(upstream);
    // The verdict may come after the last of these sends, when newer ones are watched under the same start.
    if (this.#stopped.signal.aborted || this.#watched.get(startId) !== watched) {
      return;
    }
    this.#watched.delete(startId);
    this.#logger.info("upstream lost", {
      ...{ step: "send", peer: upstream.id, reason, from: toldBy ?? "list", sends: sends.size },
    });
    if (toldBy === undefined) {
      this.#tellPeers(startId);
    }
    [...sends].forEach((send) => {
      send.onLost(reason);
    });
  }
}

/** Monotonic time at which the last bytes of any answer arrived. */
const getHeardMs = ({ sends }: Watched): number =>
  Math.max(...[...sends].map(({ heardMs }) => heardMs));

const getAddress = ({ host, port }: Upstream): string => `${host}:${String(port)}`;

const groupByAddress = (upstreams: Iterable<Upstream>): Map<string, Upstream[]> => {
  const byAddress = new Map<string, Upstream[]>();
  for (const upstream of upstreams) {
    const address = getAddress(upstream);
    byAddress.set(address, [...(byAddress.get(address) ?? []), upstream]);
  }
  return byAddress;
};
