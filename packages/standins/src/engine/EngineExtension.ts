import type { IncomingMessage, ServerResponse } from "node:http";

import type { Clock } from "@lycheepulley/core";
import { sendJson, type Route } from "@lycheepulley/http";

import type { EngineSimulator } from "./EngineSimulator.js";
import { HoldingKind } from "./KvAllocator.js";
import type { EngineRates } from "./rates.js";
import { getSegmentTokens, readJson } from "./requestFields.js";
import { exportSchema, orderSchema, reserveSchema, type Order } from "./schemas.js";

/** A load report is cached for this long, so it can be that old. */
const MAX_LOAD_AGE_MS = 200;

export interface EngineExtensionOptions {
  readonly name: string;
  readonly clock: Clock;
  readonly rates: EngineRates;
  readonly timeScale: number;
  readonly isFencing: boolean;
  readonly simulator: EngineSimulator;
  readonly initialState: Order;
  readonly getIncarnation: () => string;
}

/** Extension interface of an engine stand-in: load, state, orders, cache events and KV memory. */
export class EngineExtension {
  /** Accepted orders, in order of arrival. */
  readonly orders: Order[] = [];
  /** Whether the engine is draining; reported as `leaving`. */
  isLeaving = false;
  readonly #options: EngineExtensionOptions;
  readonly #simulator: EngineSimulator;
  #state: Order;
  #loadingUntilMs = 0;
  #lastLoad: { readonly atMs: number; readonly value: Record<string, unknown> } | undefined;

  constructor(options: EngineExtensionOptions) {
    this.#options = options;
    this.#simulator = options.simulator;
    this.#state = options.initialState;
  }

  /** Name of the model that is served now; empty while weights are loaded. */
  get servedModel(): string {
    return this.#options.clock.now() < this.#loadingUntilMs ? "" : this.#state.model;
  }

  /** Restores the initial state, as after a restart. */
  reset(): void {
    this.#state = this.#options.initialState;
    this.#lastLoad = undefined;
  }

  get routes(): Route[] {
    return [
      { method: "GET", path: "/ext/v1/load", handle: (_req, res) => this.#sendLoad(res) },
      { method: "GET", path: "/ext/v1/state", handle: (_req, res) => this.#sendState(res) },
      { method: "POST", path: "/ext/v1/orders", handle: (req, res) => this.#order(req, res) },
      {
        method: "GET",
        path: "/ext/v1/cache-events",
        handle: (_req, res, _params, url) =>
          this.#sendCacheEvents(res, Number(url.searchParams.get("from") ?? 0)),
      },
      { method: "GET", path: "/ext/v1/kv", handle: (_req, res) => this.#sendKv(res) },
      { method: "POST", path: "/ext/v1/kv", handle: (req, res) => this.#reserve(req, res) },
      {
        method: "POST",
        path: "/ext/v1/kv/:id/export",
        handle: (req, res, params) => this.#export(req, res, params["id"] ?? ""),
      },
      {
        method: "POST",
        path: "/ext/v1/kv/:id/renew",
        handle: (req, res, params) => this.#renew(req, res, params["id"] ?? ""),
      },
      {
        method: "DELETE",
        path: "/ext/v1/kv/:id",
        handle: (_req, res, params) => {
          this.#simulator.cancel(params["id"] ?? "");
          this.#simulator.kv.release(params["id"] ?? "");
          sendJson(res, 200, {});
        },
      },
    ];
  }

  #sendLoad(res: ServerResponse): void {
    const now = this.#options.clock.now();
    if (!this.#lastLoad || now - this.#lastLoad.atMs >= MAX_LOAD_AGE_MS) {
      const value = {
        atMs: now,
        ...this.#simulator.load,
        kvUsedTokens: this.#simulator.kv.usedTokens,
        kvTotalTokens: this.#options.rates.kvTokens,
        incarnation: this.#options.getIncarnation(),
      };
      this.#lastLoad = { atMs: now, value };
    }
    const isLoading = now < this.#loadingUntilMs;
    sendJson(res, 200, {
      ...this.#lastLoad.value,
      leaving: this.isLeaving,
      model: isLoading ? "" : this.#state.model,
    });
  }

  #sendState(res: ServerResponse): void {
    sendJson(res, 200, {
      ...this.#state,
      incarnation: this.#options.getIncarnation(),
      loading: this.#options.clock.now() < this.#loadingUntilMs,
    });
  }

  /** Applies an order unless its fencing token is too old; a new version takes time to load. */
  async #order(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const order = orderSchema.parse(await readJson(req));
    const accepted = !this.#options.isFencing || order.fence >= this.#state.fence;
    if (accepted) {
      const { rates, clock, timeScale } = this.#options;
      this.orders.push(order);
      if (order.model !== this.#state.model || order.version !== this.#state.version) {
        this.#loadingUntilMs = clock.now() + rates.loadMs / timeScale;
      }
      this.#state = { ...order, fence: Math.max(order.fence, this.#state.fence) };
    }
    sendJson(res, 200, { accepted, fence: this.#state.fence });
  }

  #sendCacheEvents(res: ServerResponse, fromSeq: number): void {
    const { cache } = this.#simulator;
    const events = cache.getEvents(fromSeq);
    sendJson(
      res,
      200,
      events
        ? { next: cache.nextSeq, events }
        : { next: cache.nextSeq, events: [], resync: cache.getBlocks() },
    );
  }

  #sendKv(res: ServerResponse): void {
    const now = this.#options.clock.now();
    const holdings = this.#simulator.kv.list().map(({ id, owner, tokens, kind, termEndMs }) => ({
      id,
      owner,
      tokens,
      kind,
      termLeftMs: Number.isFinite(termEndMs) ? Math.max(0, termEndMs - now) : 0,
    }));
    sendJson(res, 200, holdings);
  }

  async #reserve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { id, owner, tokens, termMs } = reserveSchema.parse(await readJson(req));
    const termEndMs = this.#options.clock.now() + termMs;
    const kind = HoldingKind.Reservation;
    const isAllocated = this.#simulator.kv.tryAllocate({ id, owner, tokens, kind, termEndMs });
    sendJson(res, isAllocated ? 200 : 507, {});
  }

  async #renew(req: IncomingMessage, res: ServerResponse, id: string): Promise<void> {
    const { termMs } = reserveSchema.pick({ termMs: true }).parse(await readJson(req));
    const holding = this.#simulator.kv.get(id);
    if (holding) {
      holding.termEndMs = this.#options.clock.now() + termMs;
    }
    sendJson(res, holding ? 200 : 404, {});
  }

  /** Prefills a segment in reserved memory and answers with the handle of its KV. */
  async #export(req: IncomingMessage, res: ServerResponse, id: string): Promise<void> {
    const call = exportSchema.parse(await readJson(req));
    const holding = this.#simulator.kv.get(id);
    if (!holding) {
      sendJson(res, 404, { error: { message: `no reservation ${id}` } });
      return;
    }
    holding.kind = HoldingKind.Export;
    const tokens = call.toToken - call.fromToken;
    const importedTokens = call.segments.reduce((sum, handle) => sum + getSegmentTokens(handle), 0);
    this.#simulator.submit(
      {
        attemptId: `${id}.export`,
        promptText: "",
        promptHash: "",
        priority: call.priority,
        outputTokens: 1,
        fromSeq: 0,
        importedTokens,
        reservationId: undefined,
        isSegment: true,
        promptTokens: tokens,
      },
      {
        onToken: () => {
          sendJson(res, 200, { handle: `${this.#options.name}/${id}/${String(tokens)}` });
        },
      },
    );
    res.on("close", () => {
      this.#simulator.cancel(`${id}.export`);
    });
  }
}
