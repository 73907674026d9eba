import type { CrashGuard } from "./crashes/CrashGuard.js";
import type { Placement, PlacementFailure, PlacementQuery, Placer } from "./Placer.js";

/** Where the next send goes, or why there is none now. */
export type PlannedSend =
  | {
      readonly kind: "planned";
      readonly placement: Placement;
      /** To be called once the send has ended. */
      readonly end: () => void;
    }
  | { readonly kind: "unplaced"; readonly reason: PlacementFailure }
  /** The request, or a part of its prompt, may crash upstreams. */
  | { readonly kind: "held"; readonly reason: string; readonly retryMs: number };

/** Finds an upstream for each send, as far as what crashed upstreams before allows it. */
export class SendPlanner {
  readonly #guard: CrashGuard;
  readonly #placer: Placer;

  constructor(options: { guard: CrashGuard; placer: Placer }) {
    this.#guard = options.guard;
    this.#placer = options.placer;
  }

  async plan(query: Omit<PlacementQuery, "isApart">): Promise<PlannedSend> {
    const { fingerprint, head } = query.req;
    const parts = head.sharedParts;
    for (;;) {
      const admission = await this.#guard.admit(parts, fingerprint);
      if (admission.kind === "refused") {
        return { kind: "held", reason: admission.reason, retryMs: admission.retryMs };
      }
      const isApart = admission.kind === "trial";
      const end = isApart ? admission.end : (): void => undefined;
      const placement = await this.#placer.find({ ...query, isApart });
      if (typeof placement === "string") {
        end();
        return { kind: "unplaced", reason: placement };
      }
      // It may have become suspect while the request waited for its placement.
      if (isApart || this.#guard.isFree(parts, fingerprint)) {
        return { kind: "planned", placement, end };
      }
    }
  }
}
