import type { PartGuard } from "./crashes/PartGuard.js";
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
  /** A part of the prompt may crash upstreams. */
  | { readonly kind: "held"; readonly reason: string; readonly retryMs: number };

/** Finds an upstream for each send, as far as the parts of the prompt allow it. */
export class SendPlanner {
  readonly #guard: PartGuard;
  readonly #placer: Placer;

  constructor(options: { guard: PartGuard; placer: Placer }) {
    this.#guard = options.guard;
    this.#placer = options.placer;
  }

  async plan(query: Omit<PlacementQuery, "isApart">): Promise<PlannedSend> {
    const parts = query.req.head.sharedParts;
    for (;;) {
      const admission = await this.#guard.admit(parts);
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
      // A part may have become suspect while the request waited for its placement.
      if (isApart || this.#guard.isFree(parts)) {
        return { kind: "planned", placement, end };
      }
    }
  }
}
