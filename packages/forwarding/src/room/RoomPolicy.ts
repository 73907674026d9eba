import type { Random } from "@lycheepulley/core";

import type { EngineSpec } from "../fleetConfig.js";
import type { PlacementCandidate, PlacementPlan, PlacementRequest } from "../placement.js";
import { getRetryAfterMs } from "../retryAfter.js";
import type { ForwardRequest } from "../types.js";
import type { RoomRequest, RoomStanding } from "./decisions.js";
import { getReplanMs } from "./pacing.js";
import type { RoomCause } from "./RoomCause.js";
import { RoomStats, type RoomCounts } from "./RoomStats.js";

/** A prompt whose candidates are looked at. */
export interface RoomView {
  readonly req: ForwardRequest;
  readonly engine: EngineSpec;
  /** The loads are sums of a peer, and this process doesn't know the requests. */
  readonly isAsked: boolean;
  /** The prompt found no plan before. */
  readonly isWaiting: boolean;
}

/** How prompts get KV memory that no upstreams have free for them now. */
export interface RoomPolicy {
  /**
   * Prompts are promised memory, after a look at all upstreams, and rejected once they can't be
   * answered in time. Otherwise they wait for it until their time is over.
   */
  readonly isPromised: boolean;
  readonly counts: RoomCounts;
  /** The candidates with what the promises of others leave a prompt. */
  addClaims(
    candidates: readonly PlacementCandidate[],
    view: RoomView,
  ): readonly PlacementCandidate[];
  /** The plan, or undefined while the prompt leaves the memory to those before it. */
  awaitTurn(
    room: Pick<RoomRequest, "req" | "engine" | "request" | "candidates">,
    plan: PlacementPlan | undefined,
  ): PlacementPlan | undefined;
  /** False for a plan of a new prompt that ends too late for its caller. */
  accepts(plan: PlacementPlan, request: PlacementRequest, deadlineLeftMs: number): boolean;
  /** What a prompt without a plan has got so far; undefined where room isn't promised. */
  getStanding(
    req: ForwardRequest,
    candidates: readonly PlacementCandidate[],
  ): RoomStanding | undefined;
  /** False while so many prompts of this process wait that another is promised nothing. */
  readonly mayPromise: boolean;
  /** Has a prompt without a plan wait; returns why it shouldn't. */
  decide(room: RoomRequest): RoomCause | undefined;
  /** Time after which a prompt that waits should be planned again, milliseconds. */
  getReplanMs(req: ForwardRequest): number;
  /** Ends the wait of a request, which was placed or not. */
  end(req: ForwardRequest, isPlaced: boolean): void;
  /** Time after which a rejected request should come back, milliseconds. */
  getRetryMs(req: ForwardRequest, random: Random): number;
}

/** Prompts wait for KV memory until their time is over, and the first that finds it free takes it. */
export class FreeForAll implements RoomPolicy {
  readonly isPromised = false;
  readonly mayPromise = false;
  readonly counts: RoomCounts = new RoomStats().getCounts({ waiting: {}, promisedTokens: 0 });

  addClaims(candidates: readonly PlacementCandidate[]): readonly PlacementCandidate[] {
    return candidates;
  }

  awaitTurn(_room: unknown, plan: PlacementPlan | undefined): PlacementPlan | undefined {
    return plan;
  }

  accepts(): boolean {
    return true;
  }

  getStanding(): undefined {
    return undefined;
  }

  decide(): undefined {
    return undefined;
  }

  getReplanMs(): number {
    return getReplanMs(0);
  }

  end(): void {
    // Nothing is kept of a prompt that waits.
  }

  getRetryMs(_req: ForwardRequest, random: Random): number {
    return getRetryAfterMs(undefined, random);
  }
}
