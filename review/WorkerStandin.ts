import { createServer, type IncomingMessage, type ServerResponse } from "node:http";

import { closeServer, listen, readAll, sleep } from "./net.js";

/** Constants of one worker's engine, as its service states them. */
export const ENGINE = {
  ...{ slots: 11, kv_tokens: 232_000, stride: 43, step_ms: 1.02, per_seq_ms: 0.00226 },
  ...{ context_per_k: 0.00431, read_per_s: 206_000, pairs_per_m: 0.138, hop_ms: 0.075 },
} as const;
const TOKENS_PER_EVENT = 43;
const EVENT_MS = 48;
const CALL_MS = 30;
const MS_PER_S = 1_000;
const PER_MILLION = 1_000_000;

/** One request as a worker got it. */
export interface Run {
  readonly worker: string;
  readonly attemptId: string;
  readonly path: string;
  readonly atMs: number;
  readonly lastEventId: number;
  readonly deadlineMs: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** When the worker ended its answer, or the connection was closed. */
  endMs: number | undefined;
  eventsSent: number;
  isWhole: boolean;
}

export interface WorkerOptions {
  readonly id: string;
  readonly host: string;
  readonly now: () => number;
  readonly runs: Run[];
  /** Finds the other workers, for prompts that several read. */
  readonly findWorker: (address: string) => WorkerStandin | undefined;
  /** Tells for each stream whether it is sent in chunks; otherwise it ends with its connection. */
  readonly isFramed?: () => boolean;
  /** Events of each stream; by its output tokens when absent. */
  readonly events?: number;
  readonly eventMs?: number;
  readonly callMs?: number;
}

/** Stand-in of a sound worker: streams for prompts, plain answers for other requests. */
export class WorkerStandin {
  readonly id: string;
  readonly #options: WorkerOptions;
  readonly #tickets = new Map<string, { tokens: number; untilMs: number }>();
  #port = 0;
  #usedTokens = 0;
  /** When the prompts that are being read here will have been read. */
  #readUntilMs = 0;
  readonly #server = createServer((req, res) => {
    void this.#handle(req, res);
  });

  constructor(options: WorkerOptions) {
    this.id = options.id;
    this.#options = options;
    this.#server.keepAliveTimeout = 5_000;
  }

  get address(): string {
    return `${this.#options.host}:${String(this.#port)}`;
  }

  async listen(): Promise<void> {
    this.#port = await listen(this.#server, this.#options.host, 0);
  }

  close(): void {
    closeServer(this.#server);
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    res.on("error", () => undefined);
    const body = (await readAll(req).catch(() => Buffer.alloc(0))).toString();
    const path = req.url ?? "/";
    if (path === "/v1/report") {
      this.#report(res);
    } else if (path === "/v1/order") {
      this.#order(JSON.parse(body) as Order, res);
    } else {
      await this.#run(req, body, res);
    }
  }

  #report(res: ServerResponse): void {
    const tickets = [...this.#liveTickets].map(([id, { tokens }]) => ({ id, tokens }));
    send(res, 200, {
      ...{ stage: "colocated", models: [{ name: "m", version: 1, adapters: [] }], busy: false },
      ...{ sequence: 0, waiting: 0, running: 0, kv_used: this.#used, kv_total: ENGINE.kv_tokens },
      ...{ handles: 0, pace: 1, tickets },
    });
  }

  get #liveTickets(): Map<string, { tokens: number; untilMs: number }> {
    const now = this.#options.now();
    [...this.#tickets]
      .filter(([, { untilMs }]) => untilMs < now)
      .forEach(([id]) => this.#tickets.delete(id));
    return this.#tickets;
  }

  get #used(): number {
    const held = [...this.#liveTickets.values()].reduce((sum, { tokens }) => sum + tokens, 0);
    return this.#usedTokens + held;
  }

  get #free(): number {
    return ENGINE.kv_tokens - this.#used;
  }

  #order({ op, id, tokens = 0, hold_ms: holdMs = 0 }: Order, res: ServerResponse): void {
    const known = this.#liveTickets.get(id);
    if (op === "release") {
      this.#tickets.delete(id);
      send(res, 200, { free: this.#free });
    } else if (known || tokens <= this.#free) {
      this.#tickets.set(id, {
        tokens: known?.tokens ?? tokens,
        untilMs: this.#options.now() + holdMs,
      });
      send(res, 200, { free: this.#free });
    } else {
      send(res, 409, { free: this.#free });
    }
  }

  async #run(req: IncomingMessage, body: string, res: ServerResponse): Promise<void> {
    const headers = req.headers as Record<string, string>;
    const attemptId = headers["x-attempt-id"] ?? "";
    if (headers["x-expect-instance"] !== this.id) {
      send(res, 421, {}, { "X-Attempt-Id": attemptId });
      return;
    }
    const run: Run = {
      ...{ worker: this.id, attemptId, path: req.url ?? "", atMs: this.#options.now() },
      ...{ lastEventId: Number(headers["last-event-id"] ?? 0), headers, body },
      ...{ deadlineMs: Number(headers["x-deadline-ms"]), endMs: undefined, eventsSent: 0 },
      isWhole: false,
    };
    res.on("close", () => {
      run.endMs ??= this.#options.now();
    });
    const counts = headers["x-token-counts"];
    if (counts === undefined) {
      this.#options.runs.push(run);
      await sleep(this.#options.callMs ?? CALL_MS);
      run.isWhole = true;
      send(res, 200, { from: this.id, echo: attemptId }, newHeaders(attemptId, this.id));
      return;
    }
    await this.#stream(run, counts, res);
  }

  async #stream(run: Run, counts: string, res: ServerResponse): Promise<void> {
    const [promptTokens = 0, outputTokens = 0] = counts.split(",").map(Number);
    const helpers = (run.headers["x-helpers"]?.split(",") ?? []).map((entry) => {
      const [address = "", ticket] = entry.split("/");
      return { worker: this.#options.findWorker(address), ticket };
    });
    const held = helpers.reduce(
      (sum, { worker, ticket }) => sum + (worker?.getTokens(ticket) ?? 0),
      0,
    );
    const ownTokens = Math.max(0, promptTokens + outputTokens - held);
    if (ownTokens > this.#free) {
      send(res, 503, {}, { "X-Attempt-Id": run.attemptId, "X-Not-Executed": "1" });
      return;
    }
    this.#options.runs.push(run);
    this.#usedTokens += ownTokens;
    try {
      const members = [this, ...helpers.flatMap(({ worker }) => worker ?? [])];
      const readMs = getReadMs(promptTokens) / members.length;
      const untilMs = Math.max(...members.map((member) => member.read(readMs)));
      await sleep(untilMs - this.#options.now());
      await this.#write(run, outputTokens, res);
    } finally {
      this.#usedTokens -= ownTokens;
    }
  }

  /** Tokens that a ticket holds here. */
  getTokens(ticket: string | undefined): number {
    return ticket === undefined ? 0 : (this.#liveTickets.get(ticket)?.tokens ?? 0);
  }

  /** Reads a part of a prompt behind the others; returns when it will have been read. */
  read(readMs: number): number {
    this.#readUntilMs = Math.max(this.#readUntilMs, this.#options.now()) + readMs;
    return this.#readUntilMs;
  }

  async #write(run: Run, outputTokens: number, res: ServerResponse): Promise<void> {
    const { eventMs = EVENT_MS } = this.#options;
    const isFramed = this.#options.isFramed?.() ?? true;
    const events = this.#options.events ?? Math.ceil(outputTokens / TOKENS_PER_EVENT);
    const endsWithConnection = isFramed ? {} : { Connection: "close" };
    res.useChunkedEncodingByDefault = isFramed;
    for (let id = run.lastEventId + 1; id <= events && !res.destroyed; id++) {
      await sleep(eventMs);
      if (!res.headersSent) {
        res.writeHead(200, {
          ...newHeaders(run.attemptId, this.id),
          ...{ "Content-Type": "text/event-stream", ...endsWithConnection },
        });
      }
      res.write(`id: ${String(id)}\ndata: event ${String(id)} of ${String(events)}\n\n`);
      run.eventsSent = id;
    }
    run.isWhole = !res.destroyed;
    run.endMs ??= this.#options.now();
    res.end();
  }
}

interface Order {
  readonly op: string;
  readonly id: string;
  readonly tokens?: number;
  readonly hold_ms?: number;
}

const getReadMs = (tokens: number): number =>
  (tokens / ENGINE.read_per_s) * MS_PER_S +
  ((tokens * tokens) / 2 / PER_MILLION) * ENGINE.pairs_per_m;

const newHeaders = (attemptId: string, worker: string): Record<string, string> => ({
  "X-Attempt-Id": attemptId,
  "X-Server-Seal": `seal.${worker}.${attemptId}`,
});

const send = (
  res: ServerResponse,
  status: number,
  value: object,
  headers: Readonly<Record<string, string>> = {},
): void => {
  const body = Buffer.from(JSON.stringify(value));
  res.writeHead(status, {
    ...headers,
    ...{ "Content-Type": "application/json", "Content-Length": String(body.length) },
  });
  res.end(body);
};
