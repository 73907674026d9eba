import type { AnswerChunk } from "@lycheepulley/core";

import type { CacheEventPage, EngineLoad, EngineState, KvHolding, OrderResult } from "./types.js";

/** Receives each chunk of an answer as it arrives. */
export type OnChunk = (chunk: AnswerChunk) => void;

/** Parameters of one attempt to generate an answer. */
export interface GenerateCall {
  readonly attemptId: string;
  /** OpenAI path, `/v1/chat/completions` or `/v1/completions`. */
  readonly path: string;
  /** Request body as JSON text, with `stream` set. */
  readonly body: string;
  /** Most tokens that the request asks for, which bound its stream. */
  readonly maxTokens?: number | undefined;
  /** Lower numbers run first, if the engine supports priorities. */
  readonly priority: number;
  /** Time left until the request's deadline, milliseconds. */
  readonly timeoutMs: number;
  /** Answer so far, when the attempt continues a stream of another engine. */
  readonly resume?: { readonly fromSeq: number; readonly text: string } | undefined;
  /** Id of the KV memory reserved for the request, if any. */
  readonly reservationId?: string | undefined;
  /** Handles of prefix segments that other engines exported and this engine imports. */
  readonly segments?: readonly string[] | undefined;
  /** Additional headers, such as the idempotency key. */
  readonly headers?: Readonly<Record<string, string>> | undefined;
  readonly signal: AbortSignal;
  /** Called once the request may have been sent, at least in part. */
  readonly onSend?: () => void;
}

/** Parameters for reading a stream that the engine still buffers, from a given token. */
export interface ResumeCall {
  readonly attemptId: string;
  readonly fromSeq: number;
  readonly maxTokens?: number | undefined;
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/** Complete desired state of an engine; sent as the body of an order. */
export interface EngineOrder {
  /** Fencing token of the issuer; the engine rejects orders with an older one. */
  readonly fence: number;
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly role: string;
}

/** Reservation of KV memory for a request or a segment; sent as the request body. */
export interface KvReserveCall {
  readonly id: string;
  /** Process and incarnation that own the reservation. */
  readonly owner: string;
  readonly tokens: number;
  readonly termMs: number;
}

/** Prefill of one segment of a long prompt; the engine keeps its KV for export. */
export interface KvSegmentCall {
  readonly reservationId: string;
  readonly body: string;
  readonly fromToken: number;
  readonly toToken: number;
  /** Handles of the earlier segments, whose KV is imported first. */
  readonly segments: readonly string[];
  readonly priority: number;
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/** Client of one engine; each dialect has its own implementation. */
export interface EngineClient {
  readonly name: string;
  /** Streams an answer; rejects with a PeerError that says whether bytes were sent. */
  generate(call: GenerateCall, onChunk: OnChunk): Promise<void>;
  /** Continues reading a stream that the engine still buffers. */
  resume(call: ResumeCall, onChunk: OnChunk): Promise<void>;
  cancel(attemptId: string): Promise<void>;
  fetchLoad(): Promise<EngineLoad>;
  fetchCacheEvents(fromSeq: number): Promise<CacheEventPage>;
  fetchState(): Promise<EngineState>;
  /** Sends the desired state; the result says whether the fencing token was accepted. */
  order(order: EngineOrder): Promise<OrderResult>;
  listKv(): Promise<KvHolding[]>;
  /** Reserves KV memory; resolves to false if the engine can't provide it. */
  reserveKv(call: KvReserveCall): Promise<boolean>;
  renewKv(id: string, termMs: number): Promise<void>;
  releaseKv(id: string): Promise<void>;
  /** Prefills one segment and resolves to the handle by which other engines import it. */
  exportSegment(call: KvSegmentCall): Promise<string>;
  close(): Promise<void>;
}
