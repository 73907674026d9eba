import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

import { LLM, ZONE } from "./Deployment.js";
import { readBody, sendJson } from "./http.js";
import type { Recorder } from "./Recorder.js";
import type { StoreStandin } from "./StoreStandin.js";

const HEARTBEAT_MS = 1_200;
/** The store drops the entry of a worker that is silent for this long. */
const EXPIRY_MS = 3 * HEARTBEAT_MS;
const SLOTS = 11;
const KV_TOKENS = 232_000;
/** Speed of the engine, as the configuration names it. */
const READ_TOKENS_PER_MS = 206;
const MS_PER_MILLION_PAIRS = 0.138;
const PAIRS_PER_MILLION = 1_000_000;
/** Time between two events, each of `TOKENS_PER_EVENT`. */
const EVENT_GAP_MS = 60;
const TOKENS_PER_EVENT = 43;

/** An order to set memory aside or to free it. */
export interface Order {
  readonly op: "reserve" | "release";
  readonly id: string;
  readonly tokens: number;
  readonly hold_ms: number;
}

/** Memory that is or was set aside under one ticket. */
export interface Ticket {
  readonly worker: string;
  readonly id: string;
  /** Requests that use it now. */
  uses: number;
  /** When the last request that used it ended; undefined for one that was never used. */
  endedMs: number | undefined;
  /** Spans in which the memory was set aside; the last one may go on. */
  readonly spans: { readonly fromMs: number; toMs: number }[];
}

/** Time in which workers read a prompt together, milliseconds. */
const getReadMs = (tokens: number, members: number): number =>
  (tokens / READ_TOKENS_PER_MS +
    ((tokens * tokens) / 2 / PAIRS_PER_MILLION) * MS_PER_MILLION_PAIRS) /
  members;

/** Stand-in of a model worker, which reads prompts together with others and keeps tickets. */
export class LlmWorker {
  readonly id: string;
  readonly tickets = new Map<string, Ticket>();
  readonly #expiries = new Map<string, NodeJS.Timeout>();
  readonly #recorder: Recorder;
  readonly #findWorker: (address: string) => LlmWorker | undefined;
  readonly #server: Server;
  /** Ends what is in progress here, as a crash does. */
  readonly #running = new Set<() => void>();
  #heartbeat: NodeJS.Timeout | undefined;
  #isDark = false;

  constructor(options: {
    readonly id: string;
    readonly recorder: Recorder;
    readonly findWorker: (address: string) => LlmWorker | undefined;
  }) {
    this.id = options.id;
    this.#recorder = options.recorder;
    this.#findWorker = options.findWorker;
    this.#server = createServer((req, res) => {
      res.on("error", () => undefined);
      this.#handle(req, res).catch(() => res.destroy());
    });
  }

  get address(): string {
    return `127.0.0.1:${String((this.#server.address() as AddressInfo).port)}`;
  }

  /** Prompts that are in progress here. */
  get running(): number {
    return this.#running.size;
  }

  listen(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.listen(0, "127.0.0.1", resolve);
    });
  }

  /** Writes the worker's entry to the store now and at each heartbeat. */
  announce(store: StoreStandin): void {
    store.put("keyed.servers", this.id, {
      ...{ service: LLM, address: this.address, zone: ZONE, version: "v1", slots: SLOTS },
      ...{ state: "ready", warmup_left_ms: 0, sequence: 0 },
    });
    this.#heartbeat = setTimeout(() => {
      this.announce(store);
    }, HEARTBEAT_MS);
  }

  /** Crashes silently: nothing is answered any more, and the prompts in progress are lost. */
  goDark(store: StoreStandin): void {
    this.#isDark = true;
    clearTimeout(this.#heartbeat);
    this.#heartbeat = setTimeout(() => {
      store.put("keyed.servers", this.id);
    }, EXPIRY_MS);
    this.#recorder.add(`worker   ${this.id} crashes and is silent`);
    this.#running.forEach((end) => {
      end();
    });
  }

  close(): void {
    clearTimeout(this.#heartbeat);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Notes that a request began or ceased to use a ticket. */
  use(id: string, delta: 1 | -1): void {
    const ticket = this.#getTicket(id);
    ticket.uses += delta;
    if (delta < 0) {
      ticket.endedMs = this.#recorder.now;
    }
  }

  #getTicket(id: string): Ticket {
    const ticket = this.tickets.get(id) ?? {
      ...{ worker: this.id, id, uses: 0, endedMs: undefined, spans: [] },
    };
    this.tickets.set(id, ticket);
    return ticket;
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const body = await readBody(req);
    if (this.#isDark) {
      return;
    }
    switch (req.url) {
      case "/v1/report":
        sendJson(res, 200, {
          ...{ stage: "colocated", models: [{ name: "m", version: 1, adapters: [] }], busy: false },
          ...{ sequence: 0, waiting: 0, running: this.running, kv_used: 0, kv_total: KV_TOKENS },
          handles: 0,
        });
        return;
      case "/health":
        sendJson(res, 200, {}, { "x-instance-id": this.id });
        return;
      case "/v1/order":
        this.#takeOrder(JSON.parse(body.toString()) as Order, res);
        return;
      default:
        this.#run(req, res);
    }
  }

  #takeOrder(order: Order, res: ServerResponse): void {
    this.#recorder.add(`worker   ${this.id} ${order.op} ${order.id}`);
    this.#apply(order);
    sendJson(res, 200, { free: KV_TOKENS });
  }

  #apply({ op, id, hold_ms: holdMs }: Order): void {
    clearTimeout(this.#expiries.get(id));
    if (op === "release") {
      this.#free(id, "released");
      return;
    }
    const { spans } = this.#getTicket(id);
    const last = spans.at(-1);
    if (last?.toMs !== Infinity) {
      spans.push({ fromMs: this.#recorder.now, toMs: Infinity });
    }
    const expire = (): void => {
      this.#free(id, "expired");
    };
    this.#expiries.set(id, setTimeout(expire, holdMs));
  }

  #free(id: string, how: string): void {
    const last = this.#getTicket(id).spans.at(-1);
    if (last?.toMs === Infinity) {
      last.toMs = this.#recorder.now;
      this.#recorder.add(`worker   ${this.id} memory of ${id} free (${how})`);
    }
  }

  /** Reads a prompt with its helpers, and streams the answer. */
  #run(req: IncomingMessage, res: ServerResponse): void {
    const attempt = String(req.headers["x-attempt-id"]);
    const own = { "x-attempt-id": attempt };
    if (req.headers["x-expect-instance"] !== this.id) {
      sendJson(res, 421, {}, { ...own, "x-instance-id": this.id });
      return;
    }
    const entries = String(req.headers["x-helpers"] ?? "").split(",");
    const helpers = entries.filter((entry) => entry !== "").map((entry) => entry.split("/"));
    const counts = String(req.headers["x-token-counts"]).split(",").map(Number);
    const [promptTokens = 0, outputTokens = 0] = counts;
    const members = helpers.length + 1;
    this.#recorder.add(
      `worker   ${this.id} runs ${attempt} with ${String(helpers.length)} helpers`,
    );
    const tickets = helpers.flatMap(([address = "", id]) =>
      id === undefined ? [] : [{ worker: this.#findWorker(address), id }],
    );
    tickets.forEach(({ worker, id }) => worker?.use(id, 1));
    let timer: NodeJS.Timeout | undefined;
    const end = (): void => {
      clearTimeout(timer);
      if (this.#running.delete(end)) {
        this.#recorder.add(`worker   ${this.id} run of ${attempt} is over`);
        tickets.forEach(({ worker, id }) => worker?.use(id, -1));
      }
    };
    this.#running.add(end);
    res.on("close", end);
    const last = Math.max(1, Math.ceil(outputTokens / TOKENS_PER_EVENT));
    const sendEvent = (event: number): void => {
      if (!res.headersSent) {
        const seal = { "x-server-seal": `seal-${this.id}`, "content-type": "text/event-stream" };
        res.writeHead(200, { ...own, ...seal });
      }
      res.write(`id: ${String(event)}\ndata: piece ${String(event)}\n\n`);
      if (event >= last) {
        end();
        res.end();
        return;
      }
      timer = setTimeout(() => {
        sendEvent(event + 1);
      }, EVENT_GAP_MS);
    };
    const first = Number(req.headers["last-event-id"] ?? 0) + 1;
    timer = setTimeout(
      () => {
        sendEvent(first);
      },
      getReadMs(promptTokens, members),
    );
  }
}
