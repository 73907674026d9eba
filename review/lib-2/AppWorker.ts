import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

import { APP, ZONE } from "./Deployment.js";
import { readBody, sendJson } from "./http.js";
import type { Recorder } from "./Recorder.js";
import type { StoreStandin } from "./StoreStandin.js";

const HEARTBEAT_MS = 1_200;
const SLOTS = 6;
/** Time for a plain answer, about twice the mean of the sheet. */
const WORK_MS = 90;
/** Time after which a request that crashes its worker does so. */
const CRASH_MS = 20;
/** Time until a crashed worker is back, and until the store has dropped its entry. */
const BACK_MS = 3_000;
const EXPIRY_MS = 3 * HEARTBEAT_MS;

/** A request that reached a worker. */
export interface Arrival {
  readonly atMs: number;
  readonly attempt: string;
}

/** Stand-in of one worker of the plain service; one path crashes it, and it comes back with a new id. */
export class AppWorker {
  /** Requests with the path that crashes workers, of all workers that share the list. */
  readonly #crashes: Arrival[];
  readonly #crashPath: string;
  readonly #name: string;
  readonly #recorder: Recorder;
  #store: StoreStandin | undefined;
  #server: Server | undefined;
  #heartbeat: NodeJS.Timeout | undefined;
  #isClosed = false;
  #isDown = false;
  #starts = 0;
  /** Attempts that it works on. */
  readonly #running = new Set<string>();
  /** Attempts that it worked on when it crashed, without those that crashed it. */
  readonly lost: string[] = [];

  constructor(options: {
    readonly name: string;
    readonly recorder: Recorder;
    readonly crashPath: string;
    readonly crashes: Arrival[];
  }) {
    this.#name = options.name;
    this.#recorder = options.recorder;
    this.#crashPath = options.crashPath;
    this.#crashes = options.crashes;
  }

  get #id(): string {
    return `${this.#name}-${String(this.#starts)}`;
  }

  /** Starts a new incarnation, at an address of its own. */
  async listen(): Promise<void> {
    if (this.#isClosed) {
      return;
    }
    this.#starts += 1;
    this.#isDown = false;
    const server = createServer((req, res) => {
      res.on("error", () => undefined);
      this.#handle(req, res).catch(() => res.destroy());
    });
    this.#server = server;
    await new Promise<void>((resolve) => {
      server.listen(0, "127.0.0.1", resolve);
    });
  }

  /** Writes the worker's entry to the store now and at each heartbeat. */
  announce(store: StoreStandin): void {
    this.#store = store;
    const { port } = this.#server?.address() as AddressInfo;
    store.put("keyed.servers", this.#id, {
      ...{ service: APP, address: `127.0.0.1:${String(port)}`, zone: ZONE, version: "v1" },
      ...{ slots: SLOTS, state: "ready", warmup_left_ms: 0, sequence: 0 },
    });
    this.#heartbeat = setTimeout(() => {
      this.announce(store);
    }, HEARTBEAT_MS);
  }

  close(): void {
    this.#isClosed = true;
    this.#end();
  }

  #end(): void {
    clearTimeout(this.#heartbeat);
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  #crash(): void {
    const id = this.#id;
    const store = this.#store;
    this.#isDown = true;
    this.#end();
    this.lost.push(...this.#running);
    this.#recorder.add(`worker   ${id} crashes; lost with it: ${[...this.#running].join(", ")}`);
    this.#running.clear();
    setTimeout(() => store?.put("keyed.servers", id), EXPIRY_MS);
    setTimeout(() => {
      void this.listen().then(() => {
        if (store && !this.#isClosed) {
          this.announce(store);
        }
      });
    }, BACK_MS);
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    await readBody(req);
    const attempt = String(req.headers["x-attempt-id"]);
    const own = { "x-attempt-id": attempt };
    if (req.headers["x-expect-instance"] !== this.#id) {
      sendJson(res, 421, {}, { ...own, "x-instance-id": this.#id });
      return;
    }
    const starts = this.#starts;
    if (req.url === this.#crashPath) {
      this.#crashes.push({ atMs: this.#recorder.now, attempt });
      this.#recorder.add(`worker   ${this.#id} begins ${attempt}, which crashes it`);
      setTimeout(() => {
        if (starts === this.#starts && !this.#isDown) {
          this.#crash();
        }
      }, CRASH_MS);
      return;
    }
    this.#running.add(attempt);
    setTimeout(() => {
      if (this.#running.delete(attempt)) {
        sendJson(res, 200, {}, { ...own, "x-server-seal": `seal-${this.#id}` });
      }
    }, WORK_MS);
  }
}
