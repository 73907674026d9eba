import { setImmediate } from "node:timers/promises";

import {
  getPrefixBlocks,
  getPromptText,
  PromptPath,
  PulleyError,
  sha256,
  Step,
  Verdict,
} from "@lycheepulley/core";
import { z } from "zod";

const DEFAULT_MAX_TOKENS = 64;
const MAX_PREFIX_BLOCKS = 64;
/** Bodies above this size are processed in several turns of the event loop. */
const LARGE_BODY_BYTES = 200_000;
const HTTP_BAD_REQUEST = 400;

const maxTokens = z.number().int().positive().optional();
const commonFields = {
  model: z.string().min(1),
  max_tokens: maxTokens,
  max_completion_tokens: maxTokens,
  stream: z.boolean().optional(),
  stream_options: z.looseObject({ include_usage: z.boolean().optional() }).nullish(),
  n: z.literal(1).optional(),
};
const chatSchema = z.looseObject({
  ...commonFields,
  messages: z.array(z.looseObject({ role: z.string(), content: z.unknown() })).min(1),
});
const textSchema = z.looseObject({
  ...commonFields,
  prompt: z.string(),
});

/** A validated prompt body and the values derived from it. */
export interface ParsedPrompt {
  readonly model: string;
  readonly isStream: boolean;
  readonly includeUsage: boolean;
  readonly maxTokens: number;
  readonly promptBytes: number;
  readonly fingerprint: string;
  readonly prefixBlocks: readonly string[];
  /** Body for the engine, which always streams. */
  readonly body: string;
}

const newInvalidRequestError = (message: string, param: string): PulleyError =>
  new PulleyError(message, {
    code: "invalid_request",
    step: Step.Accept,
    verdict: Verdict.NotRun,
    status: HTTP_BAD_REQUEST,
    param,
  });

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch (err) {
    throw newInvalidRequestError(
      `body isn't JSON: ${err instanceof Error ? err.message : ""}`,
      "(body)",
    );
  }
};

/** Yields to the event loop, so that a large body doesn't delay other requests. */
const yieldIfLarge = async (bytes: number): Promise<void> => {
  if (bytes > LARGE_BODY_BYTES) {
    await setImmediate();
  }
};

/** Parses and validates a prompt request's body; throws a {@link PulleyError} if it is invalid. */
export const parsePrompt = async (path: PromptPath, raw: Buffer): Promise<ParsedPrompt> => {
  const text = raw.toString();
  await yieldIfLarge(raw.length);
  const json = parseJson(text);
  await yieldIfLarge(raw.length);
  const schema = path === PromptPath.Chat ? chatSchema : textSchema;
  const parsed = schema.safeParse(json);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    const param = issue?.path.map(String).join(".") ?? "";
    throw newInvalidRequestError(`${param}: ${issue?.message ?? "invalid"}`, param);
  }
  const { data } = parsed;
  const promptText = getPromptText(data);
  const promptBytes = Buffer.byteLength(promptText);
  await yieldIfLarge(raw.length);
  const fingerprint = sha256(`${data.model}\u0000${promptText}`);
  const prefixBlocks = getPrefixBlocks(promptText, MAX_PREFIX_BLOCKS);
  await yieldIfLarge(raw.length);
  const outputLimit = data.max_completion_tokens ?? data.max_tokens ?? DEFAULT_MAX_TOKENS;
  return {
    model: data.model,
    isStream: data.stream ?? false,
    includeUsage: data.stream_options?.include_usage ?? false,
    maxTokens: outputLimit,
    promptBytes,
    fingerprint,
    prefixBlocks,
    body: JSON.stringify({ ...data, stream: true, max_tokens: outputLimit }),
  };
};
