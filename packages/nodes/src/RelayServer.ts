import type { IncomingMessage, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

import { Closing } from "@lycheepulley/core";
import { ConnectionEnd, sendJson, type Route } from "@lycheepulley/http";
import { z } from "zod";

/** Path at which a process relays connections of its peers. */
export const RELAY_PATH = "/relay";
export const RELAY_HOST_HEADER = "x-relay-host";
export const RELAY_PORT_HEADER = "x-relay-port";
export const RELAY_TIMEOUT_HEADER = "x-relay-timeout-ms";

/** Relayed connections at a time, far below the descriptors of a small VM. */
const MAX_RELAYED = 256;
const MAX_PORT = 65_535;
const MAX_TIMEOUT_MS = 10_000;

const headersSchema = z.object({
  [RELAY_HOST_HEADER]: z.ipv4(),
  [RELAY_PORT_HEADER]: z.coerce.number().int().positive().max(MAX_PORT),
  [RELAY_TIMEOUT_HEADER]: z.coerce.number().positive().max(MAX_TIMEOUT_MS),
});

/** Target of a relayed connection. */
export interface RelayTarget {
  readonly host: string;
  readonly port: number;
  readonly timeoutMs: number;
}

/**
 * Relays connections of peers to other addresses. Each has one HTTP exchange with chunked bodies, so
 * that the end of the target's bytes differs from the end of this process.
 */
export class RelayServer {
  readonly #mayRelay: (target: RelayTarget) => boolean;
  readonly #connect: (target: RelayTarget) => Promise<Duplex>;
  #open = 0;

  constructor(options: {
    /** False for targets that this process doesn't relay to now. */
    mayRelay: (target: RelayTarget) => boolean;
    connect: (target: RelayTarget) => Promise<Duplex>;
  }) {
    this.#mayRelay = options.mayRelay;
    this.#connect = options.connect;
  }

  /** Number of relayed connections. */
  get open(): number {
    return this.#open;
  }

  readonly route: Route = {
    method: "POST",
    path: RELAY_PATH,
    handle: (req, res) => this.#handle(req, res),
  };

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const headers = headersSchema.parse(req.headers);
    const target = {
      host: headers[RELAY_HOST_HEADER],
      port: headers[RELAY_PORT_HEADER],
      timeoutMs: headers[RELAY_TIMEOUT_HEADER],
    };
    if (this.#open >= MAX_RELAYED || !this.#mayRelay(target)) {
      refuse(res);
      return;
    }
    this.#open += 1;
    try {
      const socket = await this.#connect(target);
      if (this.#mayRelay(target)) {
        await relay(req, res, socket);
      } else {
        socket.destroy();
        refuse(res);
      }
    } catch {
      sendJson(res, 502, { error: { message: "no connection" } }, { connection: "close" });
    } finally {
      this.#open -= 1;
    }
  }
}

/** Tells a peer to use another process, before it has sent anything to the target. */
const refuse = (res: ServerResponse): void => {
  sendJson(res, 503, { error: { message: "not relayed" } }, { connection: "close" });
};

/** Passes bytes both ways until one side is closed. */
const relay = (req: IncomingMessage, res: ServerResponse, socket: Duplex): Promise<void> =>
  new Promise((resolve) => {
    let hasEnded = false;
    const connectionEnd = new ConnectionEnd(socket);
    const close = (): void => {
      socket.destroy();
      // Without its last chunk, the answer is seen to be cut.
      res.destroy();
      resolve();
    };
    if (res.destroyed) {
      close();
      return;
    }
    socket.on("end", () => {
      if (connectionEnd.closing === Closing.Reset) {
        close();
        return;
      }
      hasEnded = true;
      res.end();
    });
    socket.on("error", close);
    socket.on("close", () => {
      if (!hasEnded) {
        close();
      }
    });
    socket.on("data", (chunk: Buffer) => {
      if (!res.write(chunk)) {
        socket.pause();
        res.once("drain", () => socket.resume());
      }
    });
    req.on("error", close);
    res.on("error", close);
    res.on("close", close);
    res.writeHead(200, { connection: "close" });
    res.flushHeaders();
    req.pipe(socket);
  });
