import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { Server as NetServer, type AddressInfo, type Socket } from "node:net";

import type { Clock, OverloadControl, Wait } from "@lycheepulley/core";

import { findInvalidRequest } from "./answerChecks.js";
import { ConnectionQueue } from "./ConnectionQueue.js";
import { limitUnreadBody } from "./limitUnreadBody.js";

/** Handles one request; `params` holds the named path parameters. */
export type Handler = (
  req: IncomingMessage,
  res: ServerResponse,
  params: Readonly<Record<string, string>>,
  url: URL,
) => void | Promise<void>;

/** One route, e.g. `{ method: "GET", path: "/v1/requests/:id" }`; a final `*` matches any rest. */
export interface Route {
  readonly method: string;
  readonly path: string;
  readonly handle: Handler;
}

/** Sees the connections and requests of a server before they are served. */
export interface HttpObserver {
  onConnection(socket: Socket): void;
  /** Sees a connection that is read from now on, after it has waited itself. */
  onServe?(socket: Socket, wait: Wait): void;
  /** True when the request has its answer, so that no route serves it. */
  onRequest(req: IncomingMessage, res: ServerResponse): boolean;
}

/** How a server rejects connections that wait too long for its process. */
export interface ConnectionAdmission {
  readonly clock: Clock;
  readonly load: OverloadControl;
  /** Returns the answer that rejects a connection. */
  readonly newAnswer: (retryAfterMs: number) => string;
}

const BASE_URL = "http://localhost";

interface CompiledRoute extends Route {
  readonly pattern: RegExp;
}

const compileRoute = (route: Route): CompiledRoute => ({
  ...route,
  pattern: new RegExp(
    `^${route.path.replace(/:(\w+)/g, "(?<$1>[^/]+)").replace(/\*$/, "(?<rest>.*)")}$`,
  ),
});

/** Sends a JSON response. */
export const sendJson = (
  res: ServerResponse,
  status: number,
  value: unknown,
  headers: Readonly<Record<string, string>> = {},
): void => {
  const text = JSON.stringify(value);
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": String(Buffer.byteLength(text)),
    ...headers,
  });
  res.end(text);
};

/** HTTP server that passes requests to the first matching route. */
export class HttpServer {
  readonly #routes: readonly CompiledRoute[];
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  /** Connections with a request that was invalid. */
  readonly #invalid = new WeakSet<Socket>();
  readonly #onError: (err: unknown, req: IncomingMessage, res: ServerResponse) => void;
  readonly #queue: ConnectionQueue | undefined;

  constructor(
    routes: readonly Route[],
    onError: (err: unknown, req: IncomingMessage, res: ServerResponse) => void,
    { observer, admission }: { observer?: HttpObserver; admission?: ConnectionAdmission } = {},
  ) {
    this.#routes = routes.map(compileRoute);
    this.#onError = onError;
    this.#server = createServer({ insecureHTTPParser: false }, (req, res) => {
      if (this.#invalid.has(req.socket)) {
        // Its bytes may belong to the request before it, whose answer closes the connection.
        return;
      }
      limitUnreadBody(req, res);
      if (observer?.onRequest(req, res)) {
        return;
      }
      if (findInvalidRequest(req) === undefined) {
        void this.#dispatch(req, res);
      } else {
        this.#invalid.add(req.socket);
        sendJson(res, 400, { error: { message: "invalid head" } }, { connection: "close" });
      }
    });
    this.#server.on("connect", (_req, socket) => {
      socket.end("HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n");
    });
    // A connection that can't be accepted concerns only its caller; `listen` reports its own errors.
    this.#server.on("error", () => undefined);
    this.#server.keepAliveTimeout = 60_000;
    this.#server.requestTimeout = 0;
    const onConnection = (socket: Socket): void => {
      socket.setNoDelay(true);
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
      observer?.onConnection(socket);
    };
    if (admission) {
      this.#queue = new ConnectionQueue(this.#server, {
        ...{ ...admission, onAccept: onConnection, getOpen: () => this.#sockets },
        onServe: (socket, wait) => observer?.onServe?.(socket, wait),
      });
    } else {
      this.#server.on("connection", onConnection);
    }
  }

  /** Port that the server listens on; 0 if it doesn't listen. */
  get port(): number {
    return (this.#server.address() as AddressInfo | null)?.port ?? 0;
  }

  /** Number of open connections. */
  get connections(): number {
    return this.#sockets.size;
  }

  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => {
        this.#server.off("error", reject);
        resolve();
      });
    });
  }

  /** Stops accepting connections; the open ones are served on. */
  stopAccepting(): void {
    // That of the HTTP server takes connections for idle while their answers are still being sent.
    NetServer.prototype.close.call(this.#server);
  }

  /** Stops accepting connections and closes the open ones immediately. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => {
        resolve();
      });
      this.#queue?.close();
      for (const socket of this.#sockets) {
        socket.destroy();
      }
    });
  }

  async #dispatch(req: IncomingMessage, res: ServerResponse): Promise<void> {
    // A request target such as "//" is valid HTTP, but no URL.
    const target = req.url ?? "/";
    if (!URL.canParse(target, BASE_URL)) {
      sendJson(res, 400, { error: { message: "the request target is not a URL path" } });
      return;
    }
    const url = new URL(target, BASE_URL);
    try {
      for (const route of this.#routes) {
        const match = route.method === req.method ? route.pattern.exec(url.pathname) : null;
        if (match) {
          await route.handle(req, res, { ...match.groups }, url);
          return;
        }
      }
      sendJson(res, 404, { error: { message: `no route ${req.method ?? ""} ${url.pathname}` } });
    } catch (err) {
      if (!req.complete) {
        // Nothing more is read of its body.
        res.shouldKeepAlive = false;
      }
      this.#onError(err, req, res);
    }
  }
}
