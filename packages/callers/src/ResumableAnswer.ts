import type { ServerResponse } from "node:http";

import {
  type AnswerChunk,
  type PromptOutcome,
  PromptPath,
  type PulleyError,
  toTimerMs,
} from "@lycheepulley/core";

import { newErrorBody, sendError } from "./errorAnswer.js";

export interface ResumableAnswerOptions {
  readonly requestId: string;
  readonly path: PromptPath;
  readonly model: string;
  readonly includeUsage: boolean;
  /** Time for which the request runs on after its caller disconnected, milliseconds; 0 for none. */
  readonly reconnectMs: number;
  readonly onAbandoned: () => void;
  readonly createdS: number;
}

const SEQ = /^(0|[1-9]\d*)$/;

/** A streamed answer whose caller can reconnect and resume from a position. */
export class ResumableAnswer {
  readonly #options: ResumableAnswerOptions;
  readonly #chunks: AnswerChunk[] = [];
  #res: ServerResponse | undefined;
  #outcome: PromptOutcome | undefined;
  #err: PulleyError | undefined;
  #abandonTimer: NodeJS.Timeout | undefined;

  constructor(options: ResumableAnswerOptions) {
    this.#options = options;
  }

  get isEnded(): boolean {
    return this.#outcome !== undefined || this.#err !== undefined;
  }

  /** Finds the position behind an event of the answer, which an empty id puts at its beginning. */
  findSeqBehind(eventId: string): number | undefined {
    const prefix = `${this.#options.requestId}:`;
    const digits = eventId.startsWith(prefix) ? eventId.slice(prefix.length) : "";
    const seq =
      SEQ.test(digits) && Number(digits) < this.#chunks.length ? Number(digits) + 1 : undefined;
    return eventId === "" ? 0 : seq;
  }

  /** Sends the answer from position `fromSeq` on, and closes the connection attached before. */
  attach(res: ServerResponse, fromSeq: number): void {
    clearTimeout(this.#abandonTimer);
    this.#res?.destroy();
    this.#res = res;
    res.on("close", () => {
      this.#detach(res);
    });
    this.#chunks.slice(fromSeq).forEach((chunk) => {
      this.#write(chunk);
    });
    this.#writeEnd();
  }

  push(chunk: AnswerChunk): void {
    this.#chunks.push(chunk);
    this.#write(chunk);
  }

  finish(outcome: PromptOutcome): void {
    this.#outcome = outcome;
    this.#writeEnd();
  }

  fail(err: PulleyError): void {
    this.#err = err;
    this.#writeEnd();
  }

  #detach(res: ServerResponse): void {
    if (this.#res !== res) {
      return;
    }
    this.#res = undefined;
    if (this.isEnded) {
      return;
    }
    const { reconnectMs, onAbandoned } = this.#options;
    if (reconnectMs === 0) {
      onAbandoned();
      return;
    }
    this.#abandonTimer = setTimeout(onAbandoned, toTimerMs(reconnectMs));
    this.#abandonTimer.unref();
  }

  #sendHead(res: ServerResponse): void {
    if (!res.headersSent) {
      res.writeHead(200, {
        "content-type": "text/event-stream",
        "cache-control": "no-store",
        "x-request-id": this.#options.requestId,
      });
    }
  }

  #write(chunk: AnswerChunk): void {
    const res = this.#res;
    if (!res) {
      return;
    }
    this.#sendHead(res);
    const { requestId } = this.#options;
    const data = JSON.stringify(this.#newEvent(chunk.text, chunk.finishReason));
    res.write(`id: ${requestId}:${String(chunk.seq)}\ndata: ${data}\n\n`);
  }

  #writeEnd(): void {
    const res = this.#res;
    if (!res || !this.isEnded) {
      return;
    }
    if (this.#err) {
      this.#writeError(res, this.#err);
      return;
    }
    this.#sendHead(res);
    const replayed = this.#outcome?.replayed;
    if (replayed !== undefined) {
      res.write(`data: ${JSON.stringify(this.#newEvent(replayed, "stop"))}\n\n`);
    }
    if (this.#options.includeUsage && this.#outcome) {
      const usage = getUsage(this.#outcome);
      res.write(
        `data: ${JSON.stringify({ ...this.#newEvent("", undefined), choices: [], usage })}\n\n`,
      );
    }
    res.end("data: [DONE]\n\n");
  }

  #writeError(res: ServerResponse, err: PulleyError): void {
    const { requestId } = this.#options;
    if (!res.headersSent) {
      sendError(res, err, requestId);
      return;
    }
    // No end marker follows, so that clients don't take a partial answer for a complete one.
    res.end(`event: error\ndata: ${JSON.stringify(newErrorBody(err, requestId))}\n\n`);
  }

  #newEvent(text: string, finishReason: string | undefined): Record<string, unknown> {
    const { requestId, path, model, createdS } = this.#options;
    const isChat = path === PromptPath.Chat;
    const choice = isChat
      ? { index: 0, delta: { role: "assistant", content: text } }
      : { index: 0, text, logprobs: null };
    return {
      id: requestId,
      object: isChat ? "chat.completion.chunk" : "text_completion",
      created: createdS,
      model,
      choices: [{ ...choice, finish_reason: finishReason ?? null }],
    };
  }
}

/** Token counts in the format of the OpenAI API. */
export const getUsage = (outcome: PromptOutcome): Record<string, number> => ({
  prompt_tokens: outcome.promptTokens,
  completion_tokens: outcome.outputTokens,
  total_tokens: outcome.promptTokens + outcome.outputTokens,
});
