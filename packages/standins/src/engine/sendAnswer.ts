import type { ServerResponse } from "node:http";

import type { AnswerBuffer, AnswerToken } from "./AnswerBuffer.js";

/** An answer and how to send it to one reader. */
export interface AnswerStream {
  readonly attemptId: string;
  readonly answer: AnswerBuffer;
  readonly fromSeq: number;
  readonly isChat: boolean;
  readonly model: string;
  /** Simulated fault: sends chunks out of order and repeats some. */
  readonly isShuffled: boolean;
}

/** Formats a token as a server-sent event whose id is `attemptId:seq`. */
const newEvent = (token: AnswerToken, { attemptId, isChat, model }: AnswerStream): string => {
  const choice = isChat
    ? { index: 0, delta: { content: token.text } }
    : { index: 0, text: token.text };
  const data = JSON.stringify({
    id: attemptId,
    object: isChat ? "chat.completion.chunk" : "text_completion",
    model,
    choices: [{ ...choice, finish_reason: token.finishReason ?? null }],
  });
  return `id: ${attemptId}:${String(token.seq)}\ndata: ${data}\n\n`;
};

/** Streams the tokens of an answer as server-sent events, with an end marker after the last. */
export const sendAnswer = (res: ServerResponse, stream: AnswerStream): void => {
  res.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-store" });
  res.flushHeaders();
  const write = (token: AnswerToken): void => {
    res.write(newEvent(token, stream));
    if (token.finishReason !== undefined) {
      res.end("data: [DONE]\n\n");
    }
  };
  const unsubscribe = stream.answer.subscribe(
    stream.fromSeq,
    stream.isShuffled ? newShuffler(write) : write,
  );
  res.on("close", unsubscribe);
};

/** Swaps the tokens of each pair and sends every fourth token twice; the last token stays last. */
const newShuffler = (write: (token: AnswerToken) => void): ((token: AnswerToken) => void) => {
  let pending: AnswerToken | undefined;
  return (token) => {
    if (token.finishReason !== undefined || pending) {
      const swapped = token.finishReason === undefined ? [token] : [];
      [...swapped, ...(pending ? [pending] : [])].forEach(write);
      if (token.finishReason !== undefined) {
        write(token);
      } else if (token.seq % 4 === 3) {
        write(token);
      }
      pending = undefined;
      return;
    }
    pending = token;
  };
};
