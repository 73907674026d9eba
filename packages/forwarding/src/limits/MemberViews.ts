import type { Clock } from "@lycheepulley/core";

import { pickOwner, type Members } from "../members.js";

/** Members that this process saw until some time. */
interface MembersView {
  /** Undefined before this process saw any. */
  readonly members: Members | undefined;
  readonly key: string | undefined;
  readonly owners: Map<string, string>;
  untilMs: number;
}

/** The owners of upstreams by the members that this process sees, and saw lately. */
export class MemberViews {
  readonly #clock: Clock;
  readonly #settleMs: number;
  readonly #getMembers: () => Members;
  /** Views of the last `settleMs`, oldest first. */
  #views: MembersView[];

  /** After `settleMs` without a change of owner no other process takes itself for it. */
  constructor(options: { clock: Clock; settleMs: number; getMembers: () => Members }) {
    this.#clock = options.clock;
    this.#settleMs = options.settleMs;
    this.#getMembers = options.getMembers;
    const untilMs = this.#clock.now();
    this.#views = [{ members: undefined, key: undefined, owners: new Map(), untilMs }];
  }

  /** Notes the members that are seen now, and returns them. */
  observe(): Members {
    const now = this.#clock.now();
    const members = this.#getMembers();
    const last = this.#views.at(-1);
    const key = [...members.hosts].sort().join();
    if (last?.key === key) {
      last.untilMs = now;
    } else {
      this.#views.push({ members, key, owners: new Map(), untilMs: now });
    }
    this.#views = this.#views.filter(({ untilMs }) => now - untilMs < this.#settleMs);
    return members;
  }

  /** The owner by the members that were seen last. */
  getOwner(upstream: string): string | undefined {
    const last = this.#views.at(-1);
    return last && pickCached(last, upstream);
  }

  /** True when this process was the owner all the while. */
  isSettled(upstream: string): boolean {
    return this.#views.every(
      (view) => view.members && pickCached(view, upstream) === view.members.self,
    );
  }

  /** Forgets upstreams that are no longer listed. */
  retain(ids: ReadonlySet<string>): void {
    for (const { owners } of this.#views) {
      [...owners.keys()].filter((id) => !ids.has(id)).forEach((id) => owners.delete(id));
    }
  }
}

const pickCached = ({ members, owners }: MembersView, upstream: string): string | undefined => {
  const owner = owners.get(upstream) ?? (members && pickOwner(upstream, members));
  if (owner !== undefined) {
    owners.set(upstream, owner);
  }
  return owner;
};
