import type { ServerResponse } from "node:http";

import type { AnswerBuffer, AnswerToken } from "./AnswerBuffer.js";

/** An answer as it is sent to one reader. */
export interface AnswerStream {
  readonly attemptId: string;
  readonly answer: AnswerBuffer;
  readonly fromSeq: number;
  readonly isChat: boolean;
  readonly model: string;
  /** Fault: chunks in swapped order, some of them twice. */
  readonly isShuffled: boolean;
}

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

/** Streams an answer's tokens as server-sent events until its end marker. */
export const sendAnswer = (res: ServerResponse, sent: AnswerStream): void => {
  res.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-store" });
  res.flushHeaders();
  const write = (token: AnswerToken): void => {
    res.write(newEvent(token, sent));
    if (token.finishReason !== undefined) {
      res.end("data: [DONE]\n\n");
    }
  };
  const stop = sent.answer.subscribe(sent.fromSeq, sent.isShuffled ? shuffled(write) : write);
  res.on("close", stop);
};

/** Swaps each pair of tokens and repeats every fourth. */
const shuffled = (write: (token: AnswerToken) => void): ((token: AnswerToken) => void) => {
  let held: AnswerToken | undefined;
  return (token) => {
    if (token.finishReason !== undefined || held) {
      const first = token.finishReason === undefined ? [token] : [];
      [...first, ...(held ? [held] : [])].forEach(write);
      if (token.finishReason !== undefined) {
        write(token);
      } else if (token.seq % 4 === 3) {
        write(token);
      }
      held = undefined;
      return;
    }
    held = token;
  };
};
