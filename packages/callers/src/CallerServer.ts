import type { IncomingMessage, ServerResponse } from "node:http";

import {
  PromptPath,
  PulleyError,
  Step,
  Verdict,
  type Clock,
  type OverloadControl,
  type ProcessLifecycle,
  type PromptRequest,
  type ServiceRequest,
} from "@lycheepulley/core";
import { HttpServer, sendJson, type Route } from "@lycheepulley/http";
import type { Logger } from "@lycheepulley/telemetry";

import { sendCompletion, sendServiceAnswer, toHandedOnError, type PromptCall } from "./answers.js";
import { sendError, toPulleyError } from "./errorAnswer.js";
import { newOverloadedAnswer } from "./overloadedAnswer.js";
import { OpenRequests } from "./OpenRequests.js";
import { parsePrompt, type ParsedPrompt } from "./parse.js";
import { ResumableAnswer } from "./ResumableAnswer.js";
import type { AcceptedRequest, ServingApi } from "./types.js";

const MAX_RECONNECT_MS = 30_000;
const ENDED_ANSWER_KEEP_MS = 30_000;
const MS_PER_S = 1_000;
const HTTP_UNAUTHORIZED = 401;
const HTTP_NOT_FOUND = 404;
const HTTP_GONE = 410;
const HTTP_TEMPORARY_REDIRECT = 307;

const SERVICE_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"] as const;

/** HTTP server for callers (docs/CALLERS.md). */
export class CallerServer {
  readonly #api: ServingApi;
  readonly #server: HttpServer;
  readonly #open: OpenRequests;
  readonly #streamedAnswers = new Map<string, { answer: ResumableAnswer; customer: string }>();

  constructor(
    api: ServingApi,
    options: { clock: Clock; lifecycle: ProcessLifecycle; load: OverloadControl; logger: Logger },
  ) {
    this.#api = api;
    this.#open = new OpenRequests({
      ...options,
      stopAccepting: () => {
        this.#server.stopAccepting();
      },
    });
    this.#server = new HttpServer(
      this.#routes(),
      (err, _req, res) => {
        if (res.headersSent) {
          res.destroy();
        } else {
          sendError(res, toPulleyError(err), "");
        }
      },
      {
        observer: this.#open,
        admission: { ...options, newAnswer: newOverloadedAnswer },
      },
    );
  }

  get port(): number {
    return this.#server.port;
  }

  get connections(): number {
    return this.#server.connections;
  }

  /** Counts what the process would cut if it went on to its next state. */
  countInProgress(): number {
    return this.#open.countInProgress();
  }

  listen(host: string, port: number): Promise<void> {
    return this.#server.listen(host, port);
  }

  close(): Promise<void> {
    this.#open.destroy();
    return this.#server.close();
  }

  #routes(): Route[] {
    return [
      {
        method: "POST",
        path: PromptPath.Chat,
        handle: (req, res) => this.#handlePrompt(PromptPath.Chat, req, res),
      },
      {
        method: "POST",
        path: PromptPath.Text,
        handle: (req, res) => this.#handlePrompt(PromptPath.Text, req, res),
      },
      {
        method: "GET",
        path: "/v1/models",
        handle: (_req, res) => {
          const data = this.#api
            .listModels()
            .map((id) => ({ id, object: "model", created: 0, owned_by: "lycheepulley" }));
          sendJson(res, 200, { object: "list", data });
        },
      },
      {
        method: "GET",
        path: "/v1/address",
        handle: (req, res, _params, url) => {
          const customer = this.#api.authenticate(getApiKey(req)) ?? "";
          const domain = url.searchParams.get("failure_domain") ?? undefined;
          sendJson(res, 200, this.#api.getAddresses(customer, domain));
        },
      },
      {
        method: "GET",
        path: "/v1/requests/:id",
        handle: (req, res, params) => this.#handleFate(req, res, params["id"] ?? ""),
      },
      {
        method: "GET",
        path: "/v1/requests/:id/stream",
        handle: (req, res, params) => {
          this.#resumeStream(req, res, params["id"] ?? "");
        },
      },
      {
        method: "GET",
        path: "/metrics",
        handle: async (_req, res) => {
          res.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
          res.end(await this.#api.getMetrics());
        },
      },
      ...SERVICE_METHODS.map((method) => ({
        method,
        path: "/services/:name/*",
        handle: (
          req: IncomingMessage,
          res: ServerResponse,
          params: Readonly<Record<string, string>>,
          url: URL,
        ): Promise<void> =>
          this.#handleService(req, res, {
            method,
            service: params["name"] ?? "",
            path: `/${params["rest"] ?? ""}${url.search}`,
          }),
      })),
    ];
  }

  /** Gives the request an id; throws for an unknown API key or too many in-flight requests. */
  #accept(req: IncomingMessage): { accepted: AcceptedRequest; customer: string } {
    const customer = this.#api.authenticate(getApiKey(req));
    if (customer === undefined) {
      throw new PulleyError("unknown API key", {
        code: "invalid_api_key",
        step: Step.Accept,
        verdict: Verdict.NotRun,
        status: HTTP_UNAUTHORIZED,
        param: "authorization",
      });
    }
    if (this.#api.isFull) {
      throw new PulleyError("too many requests are in flight here", {
        code: "overloaded",
        step: Step.Admit,
        verdict: Verdict.RefusedUntil,
        status: 429,
        retryAfterMs: MS_PER_S,
      });
    }
    return { accepted: this.#api.accept(customer), customer };
  }

  /** Redirects the caller to another process late in a drain; true when it did. */
  #redirect(req: IncomingMessage, res: ServerResponse): boolean {
    const address = this.#api.getRedirectAddress();
    if (!address) {
      return false;
    }
    const location = `http://${address.host}:${String(address.port)}${req.url ?? ""}`;
    req.resume();
    sendJson(res, HTTP_TEMPORARY_REDIRECT, {}, { location, connection: "close" });
    return true;
  }

  async #handlePrompt(path: PromptPath, req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (this.#redirect(req, res)) {
      return;
    }
    const { accepted, customer } = this.#accept(req);
    const admitted = this.#open.admit(req, res, accepted.requestId);
    const { abort } = admitted;
    try {
      const raw = await admitted.readBody(this.#api.maxBodyBytes);
      const parsed = await parsePrompt(path, raw);
      const request = newPromptRequest(path, parsed, { req, customer, signal: abort.signal });
      if (parsed.isStream) {
        await this.#streamAnswer(req, res, { accepted, request, parsed, abort });
      } else {
        await sendCompletion(res, { accepted, request, parsed, abort });
      }
    } catch (err) {
      accepted.reject(err);
      if (!res.headersSent && !res.destroyed) {
        sendError(res, toPulleyError(err), accepted.requestId);
      }
    } finally {
      admitted.end();
    }
  }

  async #streamAnswer(req: IncomingMessage, res: ServerResponse, call: PromptCall): Promise<void> {
    const { accepted, request, parsed, abort } = call;
    const { requestId } = accepted;
    const reconnectMs = getReconnectMs(req);
    const answer = new ResumableAnswer({
      requestId,
      path: request.path,
      model: parsed.model,
      includeUsage: parsed.includeUsage,
      reconnectMs,
      onAbandoned: () => {
        abort.abort();
      },
      createdS: Math.floor(Date.now() / MS_PER_S),
    });
    this.#streamedAnswers.set(requestId, { answer, customer: request.customer });
    answer.attach(res, 0);
    try {
      const onChunk = answer.push.bind(answer);
      answer.finish(await accepted.runPrompt(request, { onChunk }));
    } catch (err) {
      answer.fail(toHandedOnError(err));
    } finally {
      this.#removeAnswer(requestId, reconnectMs);
    }
  }

  /** Removes an ended answer, after a while if its caller asked for time to reconnect. */
  #removeAnswer(requestId: string, reconnectMs: number): void {
    if (reconnectMs === 0) {
      this.#streamedAnswers.delete(requestId);
    } else {
      setTimeout(() => this.#streamedAnswers.delete(requestId), ENDED_ANSWER_KEEP_MS).unref();
    }
  }

  #resumeStream(req: IncomingMessage, res: ServerResponse, id: string): void {
    const streamed = this.#streamedAnswers.get(id);
    // An id is no secret, so that only the customer who asked may read the answer.
    const isOwn = streamed && this.#api.authenticate(getApiKey(req)) === streamed.customer;
    const answer = isOwn ? streamed.answer : undefined;
    const fromSeq = answer?.findSeqBehind(getHeader(req, "last-event-id") ?? "");
    if (!answer || fromSeq === undefined) {
      sendJson(res, HTTP_GONE, { error: { message: `no live stream ${id} here`, code: "gone" } });
      return;
    }
    answer.attach(res, fromSeq);
  }

  async #handleService(
    req: IncomingMessage,
    res: ServerResponse,
    target: Pick<ServiceRequest, "method" | "service" | "path">,
  ): Promise<void> {
    if (this.#redirect(req, res)) {
      return;
    }
    const { accepted, customer } = this.#accept(req);
    const admitted = this.#open.admit(req, res, accepted.requestId);
    const { abort } = admitted;
    res.on("close", () => {
      abort.abort();
    });
    try {
      const body = await admitted.readBody(this.#api.maxBodyBytes);
      await sendServiceAnswer(res, accepted, {
        ...target,
        customer,
        contentType: getHeader(req, "content-type") ?? "application/octet-stream",
        body: body.length > 0 ? body : undefined,
        idempotencyKey: getHeader(req, "idempotency-key"),
        signal: abort.signal,
      });
    } catch (err) {
      accepted.reject(err);
      sendError(res, toPulleyError(err), accepted.requestId);
    } finally {
      admitted.end();
    }
  }

  async #handleFate(req: IncomingMessage, res: ServerResponse, id: string): Promise<void> {
    const customer = this.#api.authenticate(getApiKey(req));
    const fate = customer === undefined ? undefined : await this.#api.fetchFate(id);
    const isOwn = fate && (fate.customer === "" || fate.customer === customer);
    if (!isOwn) {
      sendJson(res, HTTP_NOT_FOUND, { error: { message: `no request ${id}`, code: "not_found" } });
      return;
    }
    sendJson(res, 200, fate);
  }
}

const newPromptRequest = (
  path: PromptPath,
  parsed: ParsedPrompt,
  options: { req: IncomingMessage; customer: string; signal: AbortSignal },
): PromptRequest => ({
  path,
  body: parsed.body,
  model: parsed.model,
  promptBytes: parsed.promptBytes,
  maxTokens: parsed.maxTokens,
  className: getHeader(options.req, "x-request-class"),
  customer: options.customer,
  idempotencyKey: getHeader(options.req, "idempotency-key"),
  fingerprint: parsed.fingerprint,
  prefixBlocks: parsed.prefixBlocks,
  signal: options.signal,
});

const getHeader = (req: IncomingMessage, name: string): string | undefined => {
  const value = req.headers[name];
  return typeof value === "string" ? value : undefined;
};

const getApiKey = (req: IncomingMessage): string =>
  (getHeader(req, "authorization") ?? "").replace(/^Bearer /i, "");

const getReconnectMs = (req: IncomingMessage): number => {
  const asked = Number(getHeader(req, "x-reconnect-ms") ?? 0);
  return Number.isFinite(asked) ? Math.min(MAX_RECONNECT_MS, Math.max(0, asked)) : 0;
};
