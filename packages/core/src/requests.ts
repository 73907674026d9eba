import type { AnswerChunk } from "./answerStream.js";

/** OpenAI-style paths that carry prompts. */
export const PromptPath = {
  Chat: "/v1/chat/completions",
  Text: "/v1/completions",
} as const;
export type PromptPath = (typeof PromptPath)[keyof typeof PromptPath];

/** A prompt request after it was parsed at the door. */
export interface PromptRequest {
  readonly path: PromptPath;
  /** JSON body for the engine; it asks for a stream. */
  readonly body: string;
  readonly model: string;
  readonly promptBytes: number;
  readonly maxTokens: number;
  readonly className: string | undefined;
  readonly customer: string;
  readonly idempotencyKey: string | undefined;
  /** Hex SHA-256 of model and prompt, equal for a resend under a new id. */
  readonly fingerprint: string;
  /** Ids of the prompt's leading prefix blocks. */
  readonly prefixBlocks: readonly string[];
  /** Aborts when the caller goes away. */
  readonly signal: AbortSignal;
}

/** A call to a plain service after it was parsed at the door. */
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

/** Receives the parts of an answer in order. */
export interface AnswerSink {
  onChunk(chunk: AnswerChunk): void;
}

/** End of a prompt request that finished. */
export interface PromptOutcome {
  readonly finishReason: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Whole answer of an earlier run, when an idempotency key was resent. */
  readonly replayed: string | undefined;
}

/** End of a service call that was answered. */
export interface ServiceOutcome {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
  /** True when this is the first outcome of an idempotency key that was resent. */
  readonly isReplay: boolean;
}
