import { sleep, type Clock } from "@lycheepulley/core";
import type {
  KnownLimit,
  LimitReport,
  LoadChange,
  QuotaAnswer,
  QuotaMembers,
  QuotaPeers,
} from "@lycheepulley/forwarding";

import type { SimulatedGateway } from "./SimulatedGateway.js";

/** Delay between a gateway and an upstream or another gateway, in one direction, milliseconds. */
export const NETWORK_MS = 1;
/** Time after which a gateway gives up on an owner of quotas that is gone. */
const ASK_TIMEOUT_MS = 80;
/** Interval of the peers' signs of life. */
const HEARTBEAT_MS = 250;
/** Interval at which gateways note who owns quotas. */
const OBSERVE_MS = 1_000;

/** Carries the messages between the gateways of a fleet. */
export class GatewayNetwork {
  readonly #clock: Clock;
  readonly #getGateways: () => readonly SimulatedGateway[];

  constructor(clock: Clock, getGateways: () => readonly SimulatedGateway[]) {
    this.#clock = clock;
    this.#getGateways = getGateways;
  }

  getMembers(self: string): QuotaMembers {
    const hosts = this.#getGateways().map(({ name }) => name);
    return { self, hosts, known: this.#getGateways().length - 1 };
  }

  /** Asks the gateways of other processes for sends to upstreams with limits. */
  newQuotaPeers(from: string): QuotaPeers {
    const ask = async (host: string, limit: KnownLimit): Promise<QuotaAnswer> => {
      await sleep(this.#clock, NETWORK_MS);
      const owner = this.#getGateways().find(({ name }) => name === host);
      if (!owner) {
        await sleep(this.#clock, ASK_TIMEOUT_MS);
        throw new Error("no answer");
      }
      const answer = owner.takeForPeer(from, limit);
      await sleep(this.#clock, NETWORK_MS);
      return answer;
    };
    return { ask, charge: () => undefined };
  }

  sendLimit(from: string, report: LimitReport): void {
    this.#clock.setTimer(() => {
      for (const gateway of this.#getGateways()) {
        if (gateway.name !== from) {
          gateway.applyPeerLimit(from, report);
        }
      }
    }, NETWORK_MS);
  }

  sendLoadChange(from: string, seq: number, change: LoadChange): void {
    this.#clock.setTimer(() => {
      for (const gateway of this.#getGateways()) {
        if (gateway.name !== from) {
          gateway.applyPeerChange(from, seq, change);
        }
      }
    }, NETWORK_MS);
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
