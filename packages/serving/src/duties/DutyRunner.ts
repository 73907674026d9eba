import { sha256, type Clock, type Draft, type Protections } from "@lycheepulley/core";
import type { KvHolding } from "@lycheepulley/engines";
import type { Proposer } from "@lycheepulley/log";
import type { WeightStoreClient } from "@lycheepulley/weights";

import type { ConfigTracker } from "../config/ConfigTracker.js";
import type { MemberDirectory } from "../membership/MemberDirectory.js";
import type { PoolHost } from "../scheduler/PoolHost.js";
import type { UpstreamDirectory } from "../upstreams/UpstreamDirectory.js";
import { KvReaper } from "./KvReaper.js";
import { LeaseManager } from "./LeaseManager.js";
import { OrderDuty } from "./OrderDuty.js";
import { SnapshotDuty } from "./SnapshotDuty.js";

/** Number of leases for orders to engines; each pool is hashed to one of them. */
const ORDER_LEASE_COUNT = 4;
const SNAPSHOT_DUTY = "snapshot";
const DEFAULT_RETENTION_MS = 86_400_000;

export interface DutyRunnerOptions {
  readonly proposer: Proposer;
  readonly members: MemberDirectory;
  readonly config: ConfigTracker;
  readonly directory: UpstreamDirectory;
  readonly weights: WeightStoreClient;
  readonly pools: PoolHost;
  readonly clock: Clock;
  /** Process name and incarnation. */
  readonly holder: string;
  readonly protections: Protections;
  readonly onError: (message: string) => void;
}

/** Runs the duties that one process at a time does for the whole fleet, each under a lease. */
export class DutyRunner {
  readonly #leases: readonly LeaseManager[];
  readonly #snapshot: SnapshotDuty;
  readonly #orders: OrderDuty;
  readonly #reaper: KvReaper;

  constructor(options: DutyRunnerOptions) {
    const { proposer, clock, config, directory, weights, protections, onError } = options;
    const newLease = (duty: string): LeaseManager => new LeaseManager({ ...options, duty });
    const snapshotLease = newLease(SNAPSHOT_DUTY);
    const orderLeases = Array.from({ length: ORDER_LEASE_COUNT }, (_, i) =>
      newLease(`orders.${String(i)}`),
    );
    this.#leases = [snapshotLease, ...orderLeases];
    this.#snapshot = new SnapshotDuty({
      lease: snapshotLease,
      proposer,
      clock,
      getRetentionMs: () => config.current?.config.limits.logRetentionMs ?? DEFAULT_RETENTION_MS,
    });
    this.#orders = new OrderDuty({
      getLease: (pool) => orderLeases[getOrderLeaseIndex(pool)] ?? snapshotLease,
      ...{ config, directory, weights, clock, protections, onError },
      submitAudit: (draft: Draft) => {
        proposer.writer.submit(draft);
      },
    });
    this.#reaper = new KvReaper({
      clock,
      protections,
      source: {
        getEngines: () =>
          options.pools
            .getOwnedPools()
            .flatMap((pool) => directory.getEngines(pool).map(({ client }) => client)),
        isOwned: (engine: string, holding: KvHolding) => options.pools.isHeld(engine, holding.id),
      },
    });
  }

  /** Duties whose lease this process holds, with their fencing tokens. */
  getHeld(): { duty: string; epoch: number }[] {
    return this.#leases.flatMap(({ duty, epoch }) =>
      epoch === undefined ? [] : [{ duty, epoch }],
    );
  }

  get freedHoldings(): number {
    return this.#reaper.freed;
  }

  /** Stops all duties and releases their leases, so that another process can take them over. */
  async release(): Promise<void> {
    this.stop();
    await Promise.all(this.#leases.map((lease) => lease.release()));
  }

  stop(): void {
    this.#snapshot.stop();
    this.#orders.stop();
    this.#reaper.stop();
    this.#leases.forEach((lease) => {
      lease.stop();
    });
  }
}

const getOrderLeaseIndex = (pool: string): number =>
  parseInt(sha256(pool).slice(0, 4), 16) % ORDER_LEASE_COUNT;

/** Name of the duty whose lease covers orders to a pool's engines. */
export const getPoolDuty = (pool: string): string => `orders.${String(getOrderLeaseIndex(pool))}`;
