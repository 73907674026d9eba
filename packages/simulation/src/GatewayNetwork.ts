import { sleep, type Clock } from "@lycheepulley/core";
import type {
  ColdReport,
  CrashReport,
  KnownLimit,
  LimitReport,
  LoadChange,
  PeerLoads,
  QuotaAnswer,
  Members,
  QuotaPeers,
  TrialAnswer,
  TrialPeers,
  TrialRequest,
  UpstreamLoad,
} from "@lycheepulley/forwarding";

import type { Pattern } from "./pattern.js";
import type { SimulatedGateway } from "./SimulatedGateway.js";

/** Delay between a gateway and an upstream or another gateway, in one direction, milliseconds. */
export const NETWORK_MS = 1;
/** Time after which a gateway gives up on an owner of quotas that is gone. */
const ASK_TIMEOUT_MS = 80;
/** Interval of the peers' signs of life. */
const HEARTBEAT_MS = 250;
/** Interval at which gateways tell some others of costs, and how many. */
const COSTS_MS = 1_000;
const COSTS_PEERS = 2;
/** Interval at which gateways note who owns quotas. */
const OBSERVE_MS = 1_000;

/** Carries the messages between the gateways of a fleet. */
export class GatewayNetwork {
  readonly #clock: Clock;
  readonly #getGateways: () => readonly SimulatedGateway[];
  readonly #loadBatchMs: number;
  readonly #domains: number;

  constructor(
    clock: Clock,
    getGateways: () => readonly SimulatedGateway[],
    pattern: Pick<Pattern, "loadBatchMs" | "failureDomains"> = {},
  ) {
    this.#clock = clock;
    this.#getGateways = getGateways;
    this.#loadBatchMs = pattern.loadBatchMs ?? 0;
    this.#domains = pattern.failureDomains ?? 0;
  }

  /** Time after which a change of one process's load is known at the others, at most. */
  get loadLagMs(): number {
    return 2 * (NETWORK_MS + this.#loadBatchMs);
  }

  /** The loads that a gateway asks the relay of its failure domain for, when there are any domains. */
  newPeerLoads(self: string): PeerLoads {
    const findIndex = (): number => this.#getGateways().findIndex(({ name }) => name === self);
    const isNeeded = (): boolean => this.#domains > 0 && findIndex() >= this.#domains;
    const fetch = (upstreams: readonly string[]): ReturnType<PeerLoads["fetch"]> => {
      const relay = this.#getGateways()[findIndex() % this.#domains]?.name ?? "";
      const select = ({ loads }: SimulatedGateway): Map<string, UpstreamLoad> =>
        new Map([...loads.getLoads()].filter(([id]) => upstreams.includes(id)));
      return this.#call(relay, select).catch(() => undefined);
    };
    return {
      get isNeeded() {
        return isNeeded();
      },
      fetch,
    };
  }

  getMembers(self: string): Members {
    const hosts = this.#getGateways().map(({ name }) => name);
    return { self, hosts, known: this.#getGateways().length - 1 };
  }

  /** Asks the gateways of other processes for sends to upstreams with limits. */
  newQuotaPeers(from: string): QuotaPeers {
    const ask = (host: string, limit: KnownLimit, cold?: ColdReport): Promise<QuotaAnswer> =>
      this.#call(host, (owner) => owner.takeForPeer(from, limit, cold));
    return { ask, charge: () => undefined };
  }

  /** Asks the gateways of other processes for trials of suspect parts of prompts. */
  newTrialPeers(from: string): TrialPeers {
    return {
      ask: (host: string, req: TrialRequest): Promise<TrialAnswer> =>
        this.#call(host, (owner) => owner.takeTrialForPeer(from, req)),
      end: (host, trial) => {
        void this.#call(host, (owner) => {
          owner.endTrial(trial);
        }).catch(() => undefined);
      },
    };
  }

  /** Calls another process; rejects when it is gone. */
  async #call<T>(host: string, fn: (gateway: SimulatedGateway) => T): Promise<T> {
    await sleep(this.#clock, NETWORK_MS);
    const gateway = this.#getGateways().find(({ name }) => name === host);
    if (!gateway) {
      await sleep(this.#clock, ASK_TIMEOUT_MS);
      throw new Error("no answer");
    }
    const answer = fn(gateway);
    await sleep(this.#clock, NETWORK_MS);
    return answer;
  }

  sendEvidence(from: string, report: CrashReport): void {
    this.#broadcast(from, (gateway) => {
      gateway.applyEvidence(from, report);
    });
  }

  sendDead(from: string, upstream: string): void {
    this.#broadcast(from, (gateway) => {
      gateway.applyPeerDead(from, upstream);
    });
  }

  sendCold(from: string, reports: readonly ColdReport[]): void {
    this.#broadcast(from, (gateway) => {
      gateway.applyPeerCold(from, reports);
    });
  }

  sendLimit(from: string, report: LimitReport): void {
    this.#broadcast(from, (gateway) => {
      gateway.applyPeerLimit(from, report);
    });
  }

  sendLoadChange(from: string, seq: number, change: LoadChange): void {
    const batchMs = this.#loadBatchMs;
    const heldMs = batchMs > 0 ? NETWORK_MS + batchMs - (this.#clock.now() % batchMs) : 0;
    this.#broadcast(
      from,
      (gateway) => {
        gateway.applyPeerChange(from, seq, change);
      },
      { delayMs: NETWORK_MS + heldMs, receivers: this.#domains > 0 ? this.#domains : Infinity },
    );
  }

  #broadcast(
    from: string,
    fn: (gateway: SimulatedGateway) => void,
    { delayMs, receivers } = { delayMs: NETWORK_MS, receivers: Infinity },
  ): void {
    this.#clock.setTimer(() => {
      this.#getGateways()
        .slice(0, receivers)
        .filter(({ name }) => name !== from)
        .forEach(fn);
    }, delayMs);
  }

  /** Has each gateway note regularly which others there are. */
  observeQuotas(): void {
    this.#getGateways().forEach((gateway) => {
      gateway.observeQuotas();
    });
    this.#clock.setTimer(() => {
      this.observeQuotas();
    }, OBSERVE_MS);
  }

  /** Has each gateway regularly tell others, by turns, what it has learned of costs. */
  sendCosts(round = 0): void {
    const gateways = this.#getGateways();
    gateways.forEach((gateway, index) => {
      const summary = gateway.getCosts();
      for (let at = 1; summary && at <= COSTS_PEERS; at++) {
        const to = gateways[(index + COSTS_PEERS * round + at) % gateways.length];
        if (to !== gateway) {
          to?.applyCosts(summary);
        }
      }
    });
    this.#clock.setTimer(() => {
      this.sendCosts(round + 1);
    }, COSTS_MS);
  }

  sendHeartbeats(): void {
    for (const to of this.#getGateways()) {
      for (const from of this.#getGateways()) {
        if (from !== to) {
          to.loads.recordHeartbeat(from.name, HEARTBEAT_MS);
        }
      }
    }
    this.#clock.setTimer(() => {
      this.sendHeartbeats();
    }, HEARTBEAT_MS);
  }
}
