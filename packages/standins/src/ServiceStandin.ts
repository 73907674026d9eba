import type { IncomingMessage, ServerResponse } from "node:http";

import type { Clock } from "@lycheepulley/core";
import { HttpServer, readBody, sendJson, type Route } from "@lycheepulley/http";
import { z } from "zod";

import { getHeader } from "./engine/requestFields.js";

const MAX_BODY_BYTES = 4_000_000;

/** Faults that a service stand-in can be told to simulate. */
export const serviceFaultSchema = z.strictObject({
  /** Closes the server and listens again after this long. */
  dieMs: z.number().nonnegative().optional(),
  /** Number of coming calls that take effect but whose response is lost. */
  loseAnswers: z.number().int().nonnegative().optional(),
  /** Delay of every response from now on. */
  delayMs: z.number().nonnegative().optional(),
});
export type ServiceFault = z.infer<typeof serviceFaultSchema>;

/** Record of one POST that took effect. */
export interface ServiceEffect {
  readonly key: string | undefined;
  readonly requestId: string | undefined;
  readonly path: string;
}

/** Simulates a plain service: GET returns a preview, POST is recorded as an effect. */
export class ServiceStandin {
  readonly name: string;
  readonly #clock: Clock;
  readonly #host: string;
  readonly #port: number;
  readonly #server: HttpServer;
  readonly #effects: ServiceEffect[] = [];
  #delayMs: number;
  #lostResponsesLeft = 0;

  constructor(options: {
    name: string;
    host: string;
    port: number;
    clock: Clock;
    delayMs: number;
  }) {
    this.name = options.name;
    this.#clock = options.clock;
    this.#host = options.host;
    this.#port = options.port;
    this.#delayMs = options.delayMs;
    this.#server = new HttpServer(this.#routes(), (err, _req, res) => {
      sendJson(res, 400, { error: String(err) });
    });
  }

  get port(): number {
    return this.#server.port;
  }

  listen(): Promise<void> {
    return this.#server.listen(this.#host, this.#port);
  }

  close(): Promise<void> {
    return this.#server.close();
  }

  /** Simulates a fault; fields that are absent change nothing. */
  applyFault(fault: ServiceFault): void {
    this.#lostResponsesLeft = fault.loseAnswers ?? this.#lostResponsesLeft;
    this.#delayMs = fault.delayMs ?? this.#delayMs;
    if (fault.dieMs !== undefined) {
      const port = this.#server.port;
      const { dieMs: downMs } = fault;
      void this.#server.close().then(() => {
        this.#clock.setTimer(() => void this.#server.listen(this.#host, port), downMs);
      });
    }
  }

  #routes(): Route[] {
    return [
      {
        method: "POST",
        path: "/standin/faults",
        handle: async (req, res) => {
          const body: unknown = JSON.parse((await readBody(req, MAX_BODY_BYTES)).toString());
          const fault = serviceFaultSchema.parse(body);
          sendJson(res, 200, {});
          this.applyFault(fault);
        },
      },
      {
        method: "GET",
        path: "/standin/ledger",
        handle: (_req, res) => {
          sendJson(res, 200, { effects: this.#effects });
        },
      },
      { method: "GET", path: "/*", handle: (req, res) => this.#preview(req, res) },
      { method: "POST", path: "/*", handle: (req, res) => this.#record(req, res) },
    ];
  }

  async #preview(req: IncomingMessage, res: ServerResponse): Promise<void> {
    await this.#delay();
    sendJson(res, 200, { service: this.name, preview: req.url });
  }

  async #record(req: IncomingMessage, res: ServerResponse): Promise<void> {
    await readBody(req, MAX_BODY_BYTES);
    const key = getHeader(req, "idempotency-key");
    this.#effects.push({ key, requestId: getHeader(req, "x-request-id"), path: req.url ?? "" });
    const saved = this.#effects.length;
    if (this.#lostResponsesLeft > 0) {
      this.#lostResponsesLeft -= 1;
      res.destroy();
      return;
    }
    await this.#delay();
    sendJson(res, 201, { service: this.name, saved });
  }

  #delay(): Promise<void> {
    return new Promise((resolve) => {
      this.#clock.setTimer(resolve, this.#delayMs);
    });
  }
}
