import { PeerError } from "@lycheepulley/core";

import { ExtendedEngineClient } from "./ExtendedEngineClient.js";
import type { EngineClient, GenerateCall, OnChunk } from "./EngineClient.js";
import type { CacheEventPage, EngineLoad, EngineState, KvHolding, OrderResult } from "./types.js";

const PLAIN_CAPACITY_TOKENS = Number.MAX_SAFE_INTEGER;

/** Engine that speaks only OpenAI-style HTTP: no resume, orders or reports. */
export class PlainEngineClient implements EngineClient {
  readonly name: string;
  readonly #engine: ExtendedEngineClient;
  readonly #model: string;

  constructor(options: { name: string; origin: string; model: string }) {
    this.name = options.name;
    this.#model = options.model;
    this.#engine = new ExtendedEngineClient(options);
  }

  generate(call: GenerateCall, onChunk: OnChunk): Promise<void> {
    return this.#engine.generate({ ...call, resume: undefined, segments: undefined }, onChunk);
  }

  resume(): Promise<void> {
    return this.#unsupported("resume");
  }

  /** Closing the connection cancels; there is no call for it. */
  cancel(): Promise<void> {
    return Promise.resolve();
  }

  fetchLoad(): Promise<EngineLoad> {
    return Promise.resolve({
      atMs: 0,
      running: 0,
      waiting: 0,
      waitingPrefillTokens: 0,
      kvUsedTokens: 0,
      kvTotalTokens: PLAIN_CAPACITY_TOKENS,
      leaving: false,
      incarnation: "",
      model: this.#model,
    });
  }

  fetchCacheEvents(): Promise<CacheEventPage> {
    return Promise.resolve({ next: 0, events: [] });
  }

  fetchState(): Promise<EngineState> {
    return this.#unsupported("state");
  }

  order(): Promise<OrderResult> {
    return this.#unsupported("order");
  }

  listKv(): Promise<KvHolding[]> {
    return Promise.resolve([]);
  }

  reserveKv(): Promise<boolean> {
    return Promise.resolve(true);
  }

  renewKv(): Promise<void> {
    return Promise.resolve();
  }

  releaseKv(): Promise<void> {
    return Promise.resolve();
  }

  exportSegment(): Promise<string> {
    return this.#unsupported("KV export");
  }

  close(): Promise<void> {
    return this.#engine.close();
  }

  #unsupported(what: string): Promise<never> {
    return Promise.reject(
      new PeerError(this.name, `${what} isn't part of this dialect`, { sent: false }),
    );
  }
}
