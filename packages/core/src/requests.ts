import type { AnswerChunk } from "./answerStream.js";

/** OpenAI-compatible paths that accept prompts. */
export const PromptPath = {
  Chat: "/v1/chat/completions",
  Text: "/v1/completions",
} as const;
export type PromptPath = (typeof PromptPath)[keyof typeof PromptPath];

/** A prompt request as parsed by the listener. */
export interface PromptRequest {
  readonly path: PromptPath;
  /** JSON body for the engine, with streaming requested. */
  readonly body: string;
  readonly model: string;
  readonly promptBytes: number;
  readonly maxTokens: number;
  readonly className: string | undefined;
  readonly customer: string;
  readonly idempotencyKey: string | undefined;
  /** Hex SHA-256 of model and prompt; equal when a prompt is resent under a new id. */
  readonly fingerprint: string;
  /** Ids of the prompt's leading prefix blocks. */
  readonly prefixBlocks: readonly string[];
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** A call to a plain service as parsed by the listener. */
export interface ServiceRequest {
  readonly service: string;
  readonly method: "GET" | "HEAD" | "POST" | "PUT" | "PATCH" | "DELETE";
  readonly path: string;
  readonly contentType: string;
  readonly body: Buffer | undefined;
  readonly customer: string;
  readonly idempotencyKey: string | undefined;
  readonly signal: AbortSignal;
}

/** Receives the chunks of an answer in order. */
export interface AnswerSink {
  onChunk(chunk: AnswerChunk): void;
}

/** Result of a prompt request that finished. */
export interface PromptOutcome {
  readonly finishReason: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Whole answer of an earlier run if the idempotency key was resent. */
  readonly replayed: string | undefined;
}

/** Response of a service call. */
export interface ServiceOutcome {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
  /** True if the idempotency key was resent and this is its stored first outcome. */
  readonly isReplay: boolean;
}
