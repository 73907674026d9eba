import type { AnswerChunk } from "@lycheepulley/core";

import type { CacheEventPage, EngineLoad, EngineState, KvHolding, OrderResult } from "./types.js";

/** Receives the chunks of an answer as they arrive. */
export type OnChunk = (chunk: AnswerChunk) => void;

/** One attempt to generate an answer. */
export interface GenerateCall {
  readonly attemptId: string;
  /** OpenAI path, `/v1/chat/completions` or `/v1/completions`. */
  readonly path: string;
  /** Request body as JSON text; it asks for a stream. */
  readonly body: string;
  /** Lower numbers run first, where the engine honours priorities. */
  readonly priority: number;
  /** Time left until the request's deadline, milliseconds. */
  readonly timeoutMs: number;
  /** Answer so far, when another engine's stream is continued. */
  readonly resume?: { readonly fromSeq: number; readonly text: string } | undefined;
  /** KV memory reserved for the request, if any. */
  readonly reservationId?: string | undefined;
  /** Exported prefix segments on other engines that the request attaches. */
  readonly segments?: readonly string[] | undefined;
  /** Further headers, such as the idempotency key. */
  readonly headers?: Readonly<Record<string, string>> | undefined;
  readonly signal: AbortSignal;
  /** Called when the first byte of the call may have left. */
  readonly onSend?: () => void;
}

/** A stream that an engine still holds, to be read from a position. */
export interface ResumeCall {
  readonly attemptId: string;
  readonly fromSeq: number;
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/** Order that states the whole wanted state of an engine. */
export interface EngineOrder {
  /** Fencing number of the order's issuer. */
  readonly fence: number;
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly role: string;
}

/** KV memory that a request or a segment holds on an engine. */
export interface KvReserveCall {
  readonly id: string;
  /** Process and incarnation that answers for it. */
  readonly owner: string;
  readonly tokens: number;
  readonly termMs: number;
}

/** Prefill of one part of a long prompt whose KV stays as an export. */
export interface KvSegmentCall {
  readonly reservationId: string;
  readonly body: string;
  readonly fromToken: number;
  readonly toToken: number;
  /** Exports of the earlier parts, to import. */
  readonly segments: readonly string[];
  readonly priority: number;
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/** One engine; a class for each dialect. */
export interface EngineClient {
  readonly name: string;
  /** Streams an answer; rejects with a PeerError that tells whether bytes were sent. */
  generate(call: GenerateCall, onChunk: OnChunk): Promise<void>;
  /** Continues a stream that the engine still holds. */
  resume(call: ResumeCall, onChunk: OnChunk): Promise<void>;
  cancel(attemptId: string): Promise<void>;
  fetchLoad(): Promise<EngineLoad>;
  fetchCacheEvents(fromSeq: number): Promise<CacheEventPage>;
  fetchState(): Promise<EngineState>;
  order(order: EngineOrder): Promise<OrderResult>;
  listKv(): Promise<KvHolding[]>;
  reserveKv(call: KvReserveCall): Promise<boolean>;
  renewKv(id: string, termMs: number): Promise<void>;
  releaseKv(id: string): Promise<void>;
  /** Prefills one segment and returns the handle of its export. */
  exportSegment(call: KvSegmentCall): Promise<string>;
  close(): Promise<void>;
}
