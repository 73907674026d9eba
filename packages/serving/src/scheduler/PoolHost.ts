import {
  FairOrder,
  rankMembers,
  VmState,
  type Clock,
  type PlacementPolicy,
  type Protections,
  type QueueOrder,
} from "@lycheepulley/core";
import type { EngineLoad } from "@lycheepulley/engines";

import type { MemberDirectory } from "../membership/MemberDirectory.js";
import type { UpstreamDirectory } from "../upstreams/UpstreamDirectory.js";
import { PoolScheduler } from "./PoolScheduler.js";
import type { StrikeTracker } from "./StrikeTracker.js";

/** Least time between two load reports of one engine. */
const MIN_POLL_INTERVAL_MS = 1_000;
/** Time between two load reports of any engines, which bounds control traffic. */
const POLL_SPACING_MS = 150;

export interface PoolHostOptions {
  readonly members: MemberDirectory;
  readonly directory: UpstreamDirectory;
  readonly clock: Clock;
  readonly suspects: StrikeTracker;
  readonly protections: Protections;
  readonly newPolicy: () => PlacementPolicy;
  readonly newOrder?: () => QueueOrder;
  readonly isAgreedStateFresh: () => boolean;
  readonly getMaxQueued: () => number;
  readonly getLongPromptTokens?: () => number;
  readonly onEngineDeath?: (engine: string, requestIds: readonly string[]) => void;
}

const DEFAULT_LONG_PROMPT_TOKENS = 100_000;

/** Schedulers of the pools that this process owns or has been asked about. */
export class PoolHost {
  readonly #options: PoolHostOptions;
  readonly #cells = new Map<string, PoolScheduler>();
  readonly #lastPollMs = new Map<string, number>();
  /** Owners worked out for one list of live processes. */
  #owners: { readonly live: readonly string[]; readonly byPool: Map<string, string> } = {
    live: [],
    byPool: new Map(),
  };
  #isPolling = false;
  #isClosed = false;

  constructor(options: PoolHostOptions) {
    this.#options = options;
    options.directory.subscribe(() => {
      this.#refreshEngines();
    });
    this.#schedulePolling();
  }

  /** Name of the process that places a pool's requests. */
  getOwner(pool: string): string {
    const { members } = this.#options;
    const live = members.getLive();
    if (this.#owners.live !== live) {
      this.#owners = { live, byPool: new Map() };
    }
    const known = this.#owners.byPool.get(pool);
    const owner = known ?? rankMembers(`pool/${pool}`, live)[0] ?? members.self;
    this.#owners.byPool.set(pool, owner);
    return owner;
  }

  /** Pools that this process places and has engines of. */
  getOwnedPools(): string[] {
    const { members, directory } = this.#options;
    return directory.getEnginePools().filter((pool) => this.getOwner(pool) === members.self);
  }

  /** Tells whether a grant or a reservation stands behind an id that an engine holds. */
  isHeld(engine: string, id: string): boolean {
    return [...this.#cells.values()].some((cell) => cell.isHeld(engine, id));
  }

  getSchedulers(): ReadonlyMap<string, PoolScheduler> {
    return this.#cells;
  }

  getScheduler(pool: string): PoolScheduler {
    const known = this.#cells.get(pool);
    if (known) {
      return known;
    }
    const options = this.#options;
    const cell = new PoolScheduler({
      pool,
      clock: options.clock,
      policy: options.newPolicy(),
      order: options.newOrder?.() ?? new FairOrder(),
      suspects: options.suspects,
      protections: options.protections,
      isAgreedStateFresh: options.isAgreedStateFresh,
      getMaxQueued: options.getMaxQueued,
      getLongPromptTokens: options.getLongPromptTokens ?? (() => DEFAULT_LONG_PROMPT_TOKENS),
      getCachedTokens: () => ({}),
      ...(options.onEngineDeath ? { onDeath: options.onEngineDeath } : {}),
    });
    this.#cells.set(pool, cell);
    this.#setEngines(pool, cell);
    return cell;
  }

  close(): void {
    this.#isClosed = true;
    this.#cells.forEach((cell) => {
      cell.close();
    });
  }

  #refreshEngines(): void {
    this.#cells.forEach((cell, pool) => {
      this.#setEngines(pool, cell);
    });
  }

  #setEngines(pool: string, cell: PoolScheduler): void {
    cell.setEngines(
      this.#options.directory.getEngines(pool).map(({ vm, client }) => ({
        client,
        failureDomain: vm.failureDomain,
        isLeaving: vm.state === VmState.Leaving,
      })),
    );
  }

  #schedulePolling(): void {
    this.#options.clock.setTimer(() => {
      if (this.#isClosed) {
        return;
      }
      void this.#pollNext();
      this.#schedulePolling();
    }, POLL_SPACING_MS);
  }

  /** Asks the engine of an owned pool that was asked longest ago. */
  async #pollNext(): Promise<void> {
    const due = this.#isPolling ? undefined : this.#findDue();
    if (!due) {
      return;
    }
    this.#isPolling = true;
    const { cell, name } = due;
    this.#lastPollMs.set(name, this.#options.clock.now());
    try {
      const load = await this.#fetchLoad(name);
      cell.onLoad(name, load);
    } catch {
      cell.onLoadFailure(name);
    } finally {
      this.#isPolling = false;
    }
  }

  #findDue(): { cell: PoolScheduler; name: string } | undefined {
    const { members, clock } = this.#options;
    let due: { cell: PoolScheduler; name: string } | undefined;
    let dueMs = clock.now() - MIN_POLL_INTERVAL_MS;
    for (const [pool, cell] of this.#cells) {
      if (this.getOwner(pool) !== members.self) {
        continue;
      }
      for (const { name } of cell.getEngines()) {
        const lastMs = this.#lastPollMs.get(name) ?? -Infinity;
        if (lastMs < dueMs) {
          due = { cell, name };
          dueMs = lastMs;
        }
      }
    }
    return due;
  }

  #fetchLoad(name: string): Promise<EngineLoad> {
    const engine = this.#options.directory.getEngine(name);
    return engine ? engine.client.fetchLoad() : Promise.reject(new Error(`no engine ${name}`));
  }
}
