import {
  getMessage,
  type Cancel,
  type Clock,
  type ProcessLifecycle,
  type Random,
} from "@lycheepulley/core";
import {
  DetourPeers,
  UplinkMonitor,
  type Connector,
  type Homes,
  type PeerTable,
  type Upstream,
  type UpstreamAddress,
} from "@lycheepulley/forwarding";
import { openRelay, RelayError, RelayServer } from "@lycheepulley/nodes";
import type { Logger } from "@lycheepulley/telemetry";
import type { Duplex } from "node:stream";

/** Time after which a connection that isn't accepted is slow. */
const SLOW_CONNECT_MS = 150;
const PROBE_TIMEOUT_MS = 250;
/** Peers that one connection is tried through, one after the other. */
const MAX_PEERS = 3;
/** Time-out of a peer's own connection. */
const RELAY_TIMEOUT_MS = 200;
/** Share of the drain time in which connections of peers are accepted; later ones might outlast this process. */
const RELAY_SHARE = 0.5;

/** Connects to upstreams, through peers while this process has lost its own links. */
export class DetourConnector implements Connector {
  readonly server: RelayServer;
  readonly #clock: Clock;
  readonly #direct: Connector;
  readonly #logger: Logger;
  readonly #peerPort: number;
  readonly #monitor: UplinkMonitor;
  readonly #peers: DetourPeers;
  readonly #isHome: (homes: Homes, peer: string) => boolean;
  #detours = 0;
  readonly #lifecycle: ProcessLifecycle;

  constructor(options: {
    clock: Clock;
    lifecycle: ProcessLifecycle;
    random: Random;
    logger: Logger;
    direct: Connector;
    peerPort: number;
    getUpstreams: () => readonly Upstream[];
    peers: Pick<PeerTable, "getServing" | "getLeaving">;
    /** True when a peer's host is in one of these regions. */
    isHome: (homes: Homes, peer: string) => boolean;
    onChange: (isLost: boolean) => void;
  }) {
    const { clock, random, logger, getUpstreams, onChange } = options;
    this.#clock = clock;
    this.#lifecycle = options.lifecycle;
    this.#direct = options.direct;
    this.#logger = logger;
    this.#peerPort = options.peerPort;
    this.#isHome = options.isHome;
    const { peers } = options;
    this.#peers = new DetourPeers({
      ...{ clock, random },
      getHosts: () => peers.getServing().map(({ host }) => host),
      getLeavingHosts: () => peers.getLeaving().map(({ host }) => host),
    });
    this.#monitor = new UplinkMonitor({
      ...{ clock, random, logger, getUpstreams, onChange },
      probe: (upstream) => accepts(this.#direct, upstream),
    });
    this.server = new RelayServer({
      mayRelay: ({ host, port }) =>
        this.#mayRelay &&
        !this.#monitor.isLost &&
        getUpstreams().some((upstream) => upstream.host === host && upstream.port === port),
      connect: (target) => this.#connectDirectly(target, target.timeoutMs),
    });
  }

  /** True while this process reaches no upstream itself. */
  get isLost(): boolean {
    return this.#monitor.isLost;
  }

  /** Connections made through peers so far. */
  get detours(): number {
    return this.#detours;
  }

  /** False some time before this process ends. */
  get #mayRelay(): boolean {
    const { isLeaving, isClosing, leftAtMs, endAtMs } = this.#lifecycle;
    const untilMs = leftAtMs + RELAY_SHARE * (endAtMs - leftAtMs);
    return !isLeaving || (!isClosing && this.#clock.now() < untilMs);
  }

  stop(): void {
    this.#monitor.stop();
  }

  connect(address: UpstreamAddress, timeoutMs: number): Promise<Duplex> {
    return this.#monitor.isLost
      ? this.#connectThroughPeers(address, timeoutMs)
      : this.#connectDirectly(address, timeoutMs);
  }

  async #connectDirectly(address: UpstreamAddress, timeoutMs: number): Promise<Duplex> {
    const cancelSuspicion: Cancel = this.#clock.setTimer(() => {
      this.#monitor.suspect();
    }, SLOW_CONNECT_MS);
    try {
      const socket = await this.#direct.connect(address, timeoutMs);
      this.#monitor.recordConnected();
      return socket;
    } catch (err) {
      this.#monitor.suspect();
      throw err;
    } finally {
      cancelSuspicion();
    }
  }

  async #connectThroughPeers(
    { host, port, homes }: UpstreamAddress,
    timeoutMs: number,
  ): Promise<Duplex> {
    const endMs = this.#clock.now() + timeoutMs;
    let lastErr: unknown = new RelayError("no peer", false);
    for (const peer of this.#peers.select(MAX_PEERS, (one) => this.#isHome(homes, one))) {
      const leftMs = endMs - this.#clock.now();
      if (leftMs <= 0) {
        break;
      }
      try {
        const socket = await openRelay(
          { host: peer, port: this.#peerPort },
          { host, port, timeoutMs: Math.min(RELAY_TIMEOUT_MS, leftMs) },
        );
        this.#detours += 1;
        return socket;
      } catch (err) {
        lastErr = err;
        this.#peers.recordFailed(peer);
        this.#logger.info("connection through peer failed", {
          ...{ step: "connect", peer, upstream: host, err: getMessage(err) },
        });
        if (err instanceof RelayError && err.hasTried) {
          break;
        }
      }
    }
    throw lastErr;
  }

  /** True when an upstream accepts a connection, through a peer while the own links are lost. */
  accepts(upstream: UpstreamAddress): Promise<boolean> {
    return accepts(this, upstream);
  }
}

const accepts = async (connector: Connector, upstream: UpstreamAddress): Promise<boolean> => {
  try {
    (await connector.connect(upstream, PROBE_TIMEOUT_MS)).destroy();
    return true;
  } catch {
    return false;
  }
};
