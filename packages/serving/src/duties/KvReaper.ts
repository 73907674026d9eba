import type { Cancel, Clock, Protections } from "@lycheepulley/core";
import type { EngineClient, KvHolding } from "@lycheepulley/engines";

const SWEEP_INTERVAL_MS = 2_000;

/** Engines to sweep and the ownership of what they hold. */
export interface KvReaperSource {
  /** Engines of the pools that this process owns. */
  getEngines(): readonly EngineClient[];
  /** Tells whether a live grant or reservation owns a holding. */
  isOwned(engine: string, holding: KvHolding): boolean;
}

/** Frees KV memory and streams on engines that no grant or reservation owns any more. */
export class KvReaper {
  readonly #source: KvReaperSource;
  readonly #clock: Clock;
  readonly #protections: Protections;
  /** Ids of the holdings that had no owner at the last sweep, by engine. */
  readonly #unowned = new Map<string, ReadonlySet<string>>();
  #cancel: Cancel | undefined;
  #nextEngine = 0;
  #freed = 0;

  constructor(options: { source: KvReaperSource; clock: Clock; protections: Protections }) {
    this.#source = options.source;
    this.#clock = options.clock;
    this.#protections = options.protections;
    this.#schedule();
  }

  /** Holdings freed so far. */
  get freed(): number {
    return this.#freed;
  }

  stop(): void {
    this.#cancel?.();
  }

  #schedule(): void {
    this.#cancel = this.#clock.setTimer(() => {
      void this.#sweepNext();
      this.#schedule();
    }, SWEEP_INTERVAL_MS);
  }

  async #sweepNext(): Promise<void> {
    const engines = this.#source.getEngines();
    const engine = engines[this.#nextEngine % Math.max(1, engines.length)];
    this.#nextEngine += 1;
    if (engine && this.#protections.reaper) {
      await this.#sweep(engine).catch(() => undefined);
    }
  }

  /** Frees holdings that had no owner at this sweep and at the one before it. */
  async #sweep(engine: EngineClient): Promise<void> {
    const holdings = await engine.listKv();
    const before = this.#unowned.get(engine.name) ?? new Set();
    const unowned = holdings.filter((holding) => !this.#source.isOwned(engine.name, holding));
    this.#unowned.set(engine.name, new Set(unowned.map(({ id }) => id)));
    for (const { id, kind } of unowned.filter((holding) => before.has(holding.id))) {
      this.#freed += 1;
      await (kind === "stream" ? engine.cancel(id) : Promise.resolve());
      await engine.releaseKv(id);
    }
  }
}
