import { PeerError } from "@lycheepulley/core";

import { PlainEvents } from "./EngineEvents.js";
import { ExtendedEngineClient } from "./ExtendedEngineClient.js";
import type { EngineClient, GenerateCall, OnChunk } from "./EngineClient.js";
import type { CacheEventPage, EngineLoad, EngineState, KvHolding, OrderResult } from "./types.js";

/** Such an engine doesn't report its KV memory, so placement treats it as unlimited. */
const UNLIMITED_KV_TOKENS = Number.MAX_SAFE_INTEGER;
const HTTP_NOT_IMPLEMENTED = 501;

/** Client of an engine with only an OpenAI-style API: no resume, orders or load reports. */
export class PlainEngineClient implements EngineClient {
  readonly name: string;
  readonly #client: ExtendedEngineClient;
  readonly #model: string;

  constructor(options: { name: string; origin: string; model: string }) {
    this.name = options.name;
    this.#model = options.model;
    this.#client = new ExtendedEngineClient({ ...options, format: new PlainEvents() });
  }

  generate(call: GenerateCall, onChunk: OnChunk): Promise<void> {
    if (call.resume) {
      // The status keeps a sound engine from counting as broken.
      const options = { sent: false, status: HTTP_NOT_IMPLEMENTED };
      const message = "continuing an answer isn't part of this dialect";
      return Promise.reject(new PeerError(this.name, message, options));
    }
    return this.#client.generate({ ...call, segments: undefined }, onChunk);
  }

  resume(): Promise<void> {
    return this.#unsupported("resume");
  }

  /** Does nothing: the engine cancels a request when its connection closes. */
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
      kvTotalTokens: UNLIMITED_KV_TOKENS,
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
    return this.#client.close();
  }

  #unsupported(operation: string): Promise<never> {
    return Promise.reject(
      new PeerError(this.name, `${operation} isn't part of this dialect`, { sent: false }),
    );
  }
}
