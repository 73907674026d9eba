import { PromptPath, type PromptOutcome } from "@lycheepulley/core";

import { getUsage } from "./ResumableAnswer.js";

const MS_PER_S = 1_000;

/** Builds the body of an answer that isn't streamed, in the format of the OpenAI API. */
export const newCompletionBody = (
  requestId: string,
  path: PromptPath,
  model: string,
  text: string,
  outcome: PromptOutcome,
): Record<string, unknown> => {
  const isChat = path === PromptPath.Chat;
  const choice = isChat
    ? { index: 0, message: { role: "assistant", content: text, refusal: null }, logprobs: null }
    : { index: 0, text, logprobs: null };
  return {
    id: requestId,
    object: isChat ? "chat.completion" : "text_completion",
    created: Math.floor(Date.now() / MS_PER_S),
    model,
    choices: [{ ...choice, finish_reason: outcome.finishReason }],
    usage: getUsage(outcome),
  };
};
