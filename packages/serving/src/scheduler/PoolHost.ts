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

/** Shortest time between two load polls of one engine. */
const MIN_POLL_INTERVAL_MS = 1_000;
/** Time between two load polls of any engines, which bounds control traffic. */
const POLL_SPACING_MS = 150;

export interface PoolHostOptions {
  readonly members: MemberDirectory;
  readonly directory: UpstreamDirectory;
  readonly clock: Clock;
  readonly strikes: StrikeTracker;
  readonly protections: Protections;
  readonly newPolicy: () => PlacementPolicy;
  readonly newOrder?: () => QueueOrder;
  readonly isAgreedStateFresh: () => boolean;
  readonly getMaxQueued: () => number;
  readonly getLongPromptTokens?: () => number;
  readonly onEngineDeath?: (engine: string, requestIds: readonly string[]) => void;
}

const DEFAULT_LONG_PROMPT_TOKENS = 100_000;

/** Schedulers of the pools that this process owns or got calls for. */
export class PoolHost {
  readonly #options: PoolHostOptions;
  readonly #schedulers = new Map<string, PoolScheduler>();
  readonly #lastPollMs = new Map<string, number>();
  /** Owners of pools, cached for one list of live processes. */
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

  /** Name of the process that schedules a pool's requests. */
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

  /** Pools that this process owns and that have listed engines. */
  getOwnedPools(): string[] {
    const { members, directory } = this.#options;
    return directory.getEnginePools().filter((pool) => this.getOwner(pool) === members.self);
  }

  /** Tells whether a grant backs the stream or reservation with this id on an engine. */
  isHeld(engine: string, id: string): boolean {
    return [...this.#schedulers.values()].some((scheduler) => scheduler.isHeld(engine, id));
  }

  getSchedulers(): ReadonlyMap<string, PoolScheduler> {
    return this.#schedulers;
  }

  getScheduler(pool: string): PoolScheduler {
    const known = this.#schedulers.get(pool);
    if (known) {
      return known;
    }
    const options = this.#options;
    const scheduler = new PoolScheduler({
      pool,
      clock: options.clock,
      policy: options.newPolicy(),
      order: options.newOrder?.() ?? new FairOrder(),
      strikes: options.strikes,
      protections: options.protections,
      isAgreedStateFresh: options.isAgreedStateFresh,
      getMaxQueued: options.getMaxQueued,
      getLongPromptTokens: options.getLongPromptTokens ?? (() => DEFAULT_LONG_PROMPT_TOKENS),
      getCachedTokens: () => ({}),
      ...(options.onEngineDeath ? { onDeath: options.onEngineDeath } : {}),
    });
    this.#schedulers.set(pool, scheduler);
    this.#setEngines(pool, scheduler);
    return scheduler;
  }

  close(): void {
    this.#isClosed = true;
    this.#schedulers.forEach((scheduler) => {
      scheduler.close();
    });
  }

  #refreshEngines(): void {
    this.#schedulers.forEach((scheduler, pool) => {
      this.#setEngines(pool, scheduler);
    });
  }

  #setEngines(pool: string, scheduler: PoolScheduler): void {
    const { directory } = this.#options;
    scheduler.setEngines(
      directory.getEngines(pool).map(({ vm, client }) => ({
        client,
        failureDomain: vm.failureDomain,
        isLeaving: vm.state === VmState.Leaving,
        isEvacuated: directory.isEvacuated(vm.failureDomain),
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

  /** Polls the engine of the owned pools whose last poll is the longest ago, if one is due. */
  async #pollNext(): Promise<void> {
    const due = this.#isPolling ? undefined : this.#findEngineToPoll();
    if (!due) {
      return;
    }
    this.#isPolling = true;
    const { scheduler, name } = due;
    this.#lastPollMs.set(name, this.#options.clock.now());
    try {
      const load = await this.#fetchLoad(name);
      scheduler.onLoad(name, load);
    } catch {
      scheduler.onLoadFailure(name);
    } finally {
      this.#isPolling = false;
    }
  }

  #findEngineToPoll(): { scheduler: PoolScheduler; name: string } | undefined {
    const { members, clock } = this.#options;
    let due: { scheduler: PoolScheduler; name: string } | undefined;
    let dueMs = clock.now() - MIN_POLL_INTERVAL_MS;
    for (const [pool, scheduler] of this.#schedulers) {
      if (this.getOwner(pool) !== members.self) {
        continue;
      }
      for (const { name } of scheduler.getEngines()) {
        const lastMs = this.#lastPollMs.get(name) ?? -Infinity;
        if (lastMs < dueMs) {
          due = { scheduler, name };
          dueMs = lastMs;
        }
      }
    }
    return due;
  }

  #fetchLoad(name: string): Promise<EngineLoad> {
    const engine = this.#options.directory.getEngine(name);
    return engine
      ? engine.client.fetchLoad()
      : Promise.reject(new Error(`engine ${name} is not in the directory`));
  }
}
