import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";

import { getPromptText, type Clock } from "@lycheepulley/core";
import { HttpServer, sendJson, type Route } from "@lycheepulley/http";

import { AnswerBuffer } from "./AnswerBuffer.js";
import { hashPrompt } from "./answer.js";
import { EngineExtension } from "./EngineExtension.js";
import { countTokens, EngineSimulator, type EngineJob } from "./EngineSimulator.js";
import type { EngineRates } from "./rates.js";
import { getHeader, getSegmentTokens, readJson } from "./requestFields.js";
import { sendAnswer, type AnswerStream } from "./sendAnswer.js";
import {
  completionBodySchema,
  engineFaultSchema,
  type CompletionBody,
  type EngineFault,
} from "./schemas.js";

const DEFAULT_MAX_TOKENS = 64;
const FINISHED_ANSWER_RETENTION_MS = 10_000;
const HTTP_UNAVAILABLE = 503;

/** Record of one run of a prompt on the engine. */
export interface EngineRun {
  readonly attemptId: string;
  readonly promptHash: string;
  readonly idempotencyKey: string | undefined;
  tokens: number;
  isFinished: boolean;
}

export interface EngineStandinOptions {
  readonly name: string;
  readonly host: string;
  readonly port: number;
  readonly clock: Clock;
  readonly rates: EngineRates;
  /** Simulated time runs this many times faster than real time. */
  readonly timeScale: number;
  /** Whether orders with an old fencing token are rejected. */
  readonly isFencing: boolean;
  readonly model: string;
  readonly version: string;
  /** One-way delay to this engine, which passes before a completion is handled, milliseconds. */
  readonly delayMs: number;
  /** Crashes when it accepts a prompt that contains this text. */
  readonly crashOn?: string | undefined;
}

/** Simulated engine with an OpenAI-style API and the extension interface. */
export class EngineStandin {
  readonly #options: EngineStandinOptions;
  readonly #simulator: EngineSimulator;
  readonly #server: HttpServer;
  readonly #answers = new Map<string, AnswerBuffer>();
  readonly #runs: EngineRun[] = [];
  readonly #extension: EngineExtension;
  #incarnation = randomUUID();
  #lostAnswersLeft = 0;
  #shuffleChunks = false;
  #crashOn: string | undefined;
  #crashes = 0;

  constructor(options: EngineStandinOptions) {
    this.#options = options;
    this.#simulator = new EngineSimulator(options.clock, options.rates, options.timeScale);
    this.#crashOn = options.crashOn;
    const { name, clock, rates, timeScale, isFencing } = options;
    this.#extension = new EngineExtension({
      ...{ name, clock, rates, timeScale, isFencing },
      simulator: this.#simulator,
      initialState: {
        fence: 0,
        model: options.model,
        version: options.version,
        adapters: [],
        role: "mixed",
      },
      getIncarnation: () => this.#incarnation,
    });
    this.#server = new HttpServer(this.#routes(), (err, _req, res) => {
      sendJson(res, 400, { error: { message: String(err) } });
    });
  }

  get name(): string {
    return this.#options.name;
  }

  get port(): number {
    return this.#server.port;
  }

  get crashCount(): number {
    return this.#crashes;
  }

  listen(): Promise<void> {
    return this.#server.listen(this.#options.host, this.#options.port);
  }

  close(): Promise<void> {
    this.#simulator.reset();
    return this.#server.close();
  }

  /** Simulates a fault; fields that are absent change nothing. */
  applyFault(fault: EngineFault): void {
    const { clock } = this.#options;
    if (fault.slowFactor !== undefined) {
      this.#simulator.setSlowFactor(fault.slowFactor);
    }
    if (fault.hangMs !== undefined) {
      this.#simulator.setHung(true);
      clock.setTimer(() => {
        this.#simulator.setHung(false);
      }, fault.hangMs);
    }
    this.#lostAnswersLeft = fault.loseAnswers ?? this.#lostAnswersLeft;
    this.#shuffleChunks = fault.shuffleChunks ?? this.#shuffleChunks;
    this.#crashOn = fault.crashOn ?? this.#crashOn;
    this.#extension.isLeaving = fault.leaving ?? this.#extension.isLeaving;
    if (fault.forgetToFree !== undefined) {
      this.#simulator.kv.leaksMemory = fault.forgetToFree;
    }
    if (fault.dieMs !== undefined) {
      void this.#crash(fault.dieMs);
    }
  }

  /** Loses all state, closes the server and listens again after `downMs`, as a new incarnation. */
  async #crash(downMs: number): Promise<void> {
    const { clock, host, port } = this.#options;
    const boundPort = this.#server.port || port;
    this.#crashes += 1;
    this.#simulator.reset();
    this.#answers.clear();
    this.#incarnation = randomUUID();
    this.#extension.reset();
    await this.#server.close();
    clock.setTimer(() => {
      void this.#server.listen(host, boundPort);
    }, downMs);
  }

  #routes(): Route[] {
    const completeChat = (req: IncomingMessage, res: ServerResponse): Promise<void> =>
      this.#complete(req, res, true);
    const completeText = (req: IncomingMessage, res: ServerResponse): Promise<void> =>
      this.#complete(req, res, false);
    return [
      { method: "POST", path: "/v1/chat/completions", handle: completeChat },
      { method: "POST", path: "/v1/completions", handle: completeText },
      ...this.#extension.routes,
      {
        method: "GET",
        path: "/ext/v1/streams/:id",
        handle: (_req, res, params, url) =>
          this.#resume(res, params["id"] ?? "", Number(url.searchParams.get("from") ?? 0)),
      },
      {
        method: "DELETE",
        path: "/ext/v1/streams/:id",
        handle: (_req, res, params) => {
          this.#simulator.cancel(params["id"] ?? "");
          this.#answers.delete(params["id"] ?? "");
          sendJson(res, 200, {});
        },
      },
      {
        method: "POST",
        path: "/standin/faults",
        handle: async (req, res) => {
          const fault = engineFaultSchema.parse(await readJson(req));
          sendJson(res, 200, {});
          this.applyFault(fault);
        },
      },
      {
        method: "GET",
        path: "/standin/ledger",
        handle: (_req, res) => {
          sendJson(res, 200, {
            runs: this.#runs,
            orders: this.#extension.orders,
            deaths: this.#crashes,
            cache: this.#simulator.cacheStats,
          });
        },
      },
    ];
  }

  /** Runs a chat or text completion and streams its answer. */
  async #complete(req: IncomingMessage, res: ServerResponse, isChat: boolean): Promise<void> {
    const body = completionBodySchema.parse(await readJson(req));
    if (this.#options.delayMs > 0) {
      await this.#delay();
    }
    const rejection = this.#findRejection(body);
    if (rejection) {
      sendJson(res, HTTP_UNAVAILABLE, { error: { message: rejection, code: "not_run" } });
      return;
    }
    const promptText = getPromptText(body);
    if (this.#crashOn !== undefined && promptText.includes(this.#crashOn)) {
      this.#recordRun(req, "crash", promptText);
      await this.#crash(this.#options.rates.loadMs / this.#options.timeScale);
      return;
    }
    const attemptId = getHeader(req, "x-attempt-id") ?? randomUUID();
    const job = this.#newJob(req, body, attemptId, promptText);
    const run = this.#recordRun(req, attemptId, promptText);
    const answer = new AnswerBuffer(job.fromSeq);
    this.#answers.set(attemptId, answer);
    this.#simulator.submit(job, {
      onToken: (seq, text, finishReason) => {
        run.tokens += 1;
        run.isFinished = finishReason !== undefined;
        answer.push({ seq, text, finishReason });
        if (run.isFinished) {
          this.#dropAnswerLater(attemptId);
        }
      },
    });
    if (this.#lostAnswersLeft > 0) {
      this.#lostAnswersLeft -= 1;
      res.destroy();
      return;
    }
    this.#sendAnswer(res, { attemptId, answer, fromSeq: job.fromSeq, isChat, model: body.model });
  }

  /** Why a request is rejected without being run; undefined if it is accepted. */
  #findRejection(body: CompletionBody): string | undefined {
    if (this.#extension.isLeaving) {
      return "engine is leaving";
    }
    const served = this.#extension.servedModel;
    return body.model === served ? undefined : `model ${body.model} isn't loaded`;
  }

  #newJob(
    req: IncomingMessage,
    body: CompletionBody,
    attemptId: string,
    promptText: string,
  ): EngineJob {
    const segments = (getHeader(req, "x-kv-segments") ?? "").split(",").filter((s) => s !== "");
    const importedTokens = segments.reduce((sum, handle) => sum + getSegmentTokens(handle), 0);
    const priority = Number(getHeader(req, "x-priority") ?? 5);
    return {
      attemptId,
      promptText,
      promptHash: hashPrompt(promptText),
      priority: Number.isFinite(priority) ? priority : 5,
      outputTokens: body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_MAX_TOKENS,
      fromSeq: body.x_resume?.fromSeq ?? 0,
      importedTokens,
      reservationId: getHeader(req, "x-kv-reservation"),
      isSegment: false,
      promptTokens: Math.max(1, countTokens(promptText) - importedTokens),
    };
  }

  #recordRun(req: IncomingMessage, attemptId: string, promptText: string): EngineRun {
    const run: EngineRun = {
      attemptId,
      promptHash: hashPrompt(promptText),
      idempotencyKey: getHeader(req, "idempotency-key"),
      tokens: 0,
      isFinished: false,
    };
    this.#runs.push(run);
    return run;
  }

  #sendAnswer(res: ServerResponse, options: Omit<AnswerStream, "isShuffled">): void {
    sendAnswer(res, { ...options, isShuffled: this.#shuffleChunks });
  }

  /** Streams a buffered answer from a token on. */
  #resume(res: ServerResponse, attemptId: string, fromSeq: number): void {
    const answer = this.#answers.get(attemptId);
    if (!answer) {
      sendJson(res, 404, { error: { message: `no stream ${attemptId}` } });
      return;
    }
    const model = this.#extension.servedModel;
    this.#sendAnswer(res, { attemptId, answer, fromSeq, isChat: true, model });
  }

  /** Keeps a finished answer for resuming readers, then drops it. */
  #dropAnswerLater(attemptId: string): void {
    this.#options.clock.setTimer(
      () => this.#answers.delete(attemptId),
      FINISHED_ANSWER_RETENTION_MS,
    );
  }

  #delay(): Promise<void> {
    return new Promise((resolve) => {
      this.#options.clock.setTimer(resolve, this.#options.delayMs);
    });
  }
}
