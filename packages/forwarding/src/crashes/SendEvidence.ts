import { getStartId, type Upstream } from "../fleetConfig.js";
import { SendResult, type SendOutcome } from "../outcomes.js";
import type { ForwardRequest } from "../types.js";
import type { UpstreamWatch } from "../UpstreamWatch.js";
import type { CrashEvidence } from "./CrashEvidence.js";

/** Time after its first event at which an answer shows that its upstream doesn't crash under it. */
const SOUND_AFTER_MS = 1_000;

/** Reports what one send tells about its upstream, about its request and about the parts of its prompt. */
export class SendEvidence {
  readonly #evidence: CrashEvidence;
  readonly #parts: readonly string[];
  readonly #request: string;
  readonly #upstream: Upstream;
  readonly #sentMs: number;
  readonly #watch: Pick<UpstreamWatch, "accepts">;
  #firstMs: number | undefined;
  /** The parts of the prompt aren't at fault. */
  #arePartsSound = false;

  constructor(
    evidence: CrashEvidence,
    { head, fingerprint }: ForwardRequest,
    upstream: Upstream,
    watch: Pick<UpstreamWatch, "accepts">,
  ) {
    this.#watch = watch;
    this.#evidence = evidence;
    this.#parts = head.sharedParts;
    this.#request = fingerprint;
    this.#upstream = upstream;
    this.#sentMs = evidence.now();
  }

  onEvents(): void {
    const now = this.#evidence.now();
    if (this.#firstMs === undefined) {
      this.#firstMs = now;
      this.#evidence.recordAnswer(getStartId(this.#upstream), this.#sentMs);
    }
    if (now - this.#firstMs >= SOUND_AFTER_MS && !this.#arePartsSound) {
      this.#arePartsSound = true;
      this.#evidence.recordSound(this.#parts, this.#firstMs);
    }
  }

  /** A silent upstream that doesn't answer a probe either may have been lost. */
  onStall({ isAlive }: { isAlive: boolean }): void {
    if (!isAlive) {
      this.#recordLoss();
    }
  }

  onEnd({ result, isCut, isInvalid }: SendOutcome): void {
    if (isCut) {
      this.#recordLoss();
    } else if (isInvalid) {
      void this.#recordLossUnlessAlive();
    } else if (result === SendResult.Delivered) {
      const begunMs = this.#firstMs ?? this.#evidence.now();
      this.#evidence.recordAnswer(getStartId(this.#upstream), this.#sentMs);
      this.#evidence.recordSound(this.#arePartsSound ? [] : this.#parts, begunMs, this.#request);
    }
  }

  /** Garbage of an upstream that lives on says nothing of the request. */
  async #recordLossUnlessAlive(): Promise<void> {
    if (!(await this.#watch.accepts(this.#upstream))) {
      this.#recordLoss();
    }
  }

  /** A request may crash its upstream at any time before its answer is whole. */
  #recordLoss(): void {
    const parts = this.#arePartsSound ? [] : this.#parts;
    this.#evidence.recordLoss(getStartId(this.#upstream), parts, this.#request);
  }
}
