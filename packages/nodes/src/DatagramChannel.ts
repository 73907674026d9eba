import { createSocket, type Socket, type SocketOptions } from "node:dgram";
import { lookup } from "node:dns";
import { isIP } from "node:net";

import { createJSONRPCNotification } from "json-rpc-2.0";
import { z } from "zod";

const MAX_DATAGRAM_BYTES = 60_000;
/** Kinds of unknown messages that are reported. */
const MAX_UNKNOWN = 50;
const MAX_METHOD_LENGTH = 40;

/** Validates the parameters of a notification, as a zod schema does. */
export interface MessageParser<T> {
  safeParse(
    value: unknown,
  ): { success: true; data: T } | { success: false; error: z.core.$ZodError };
}

interface Notification {
  readonly method: string;
  readonly params?: unknown;
}

const isNotification = (value: unknown): value is Notification =>
  typeof value === "object" &&
  value !== null &&
  "jsonrpc" in value &&
  value.jsonrpc === "2.0" &&
  "method" in value &&
  typeof value.method === "string";

/** Takes an IP address as it is: the resolver would defer each send and cost as much as the send. */
const lookUpHost: NonNullable<SocketOptions["lookup"]> = (host, options, done) => {
  const family = isIP(host);
  if (family === 0) {
    lookup(host, options, done);
  } else {
    done(null, host, family);
  }
};

type Handler = (params: unknown, host: string) => void;

/** Sends and receives JSON-RPC notifications as UDP datagrams, which may be lost or reordered. */
export class DatagramChannel {
  readonly #handlers = new Map<string, Handler>();
  readonly #onError: (host: string, reason: string) => void;
  readonly #onSent: (host: string, bytes: number) => void;
  readonly #unknown = new Set<string>();
  #socket: Socket | undefined;
  #port = 0;
  #sentBytes = 0;

  /**
   * `onError` is called for received messages that are dropped, with the sender's host, and with
   * the host `self` for socket errors and messages too large to send; `onSent` for each message to a host.
   */
  constructor(options: {
    onError: (host: string, reason: string) => void;
    onSent?: (host: string, bytes: number) => void;
  }) {
    this.#onError = options.onError;
    this.#onSent = options.onSent ?? ((): void => undefined);
  }

  get sentBytes(): number {
    return this.#sentBytes;
  }

  /** Handles one method's notifications; those that `parser` rejects are dropped. */
  handle<T>(method: string, parser: MessageParser<T>, fn: (params: T, host: string) => void): void {
    this.#handlers.set(method, (params, host) => {
      const parsed = parser.safeParse(params);
      if (parsed.success) {
        fn(parsed.data, host);
      } else {
        this.#onError(host, `${method}: ${z.prettifyError(parsed.error)}`);
      }
    });
  }

  /** Binds the port, which is the same for all processes. */
  listen(host: string, port: number): Promise<void> {
    this.#port = port;
    const socket = createSocket({ type: "udp4", lookup: lookUpHost });
    this.#socket = socket;
    socket.on("message", (data, { address }) => {
      this.#receive(data, address);
    });
    return new Promise((resolve, reject) => {
      socket.once("error", reject);
      socket.bind(port, host, () => {
        socket.off("error", reject);
        socket.on("error", (err) => {
          this.#onError("self", err.message);
        });
        resolve();
      });
    });
  }

  /** Sends a notification to each host; one too large for a datagram is reported and dropped. */
  notify(method: string, params: object, hosts: readonly string[]): void {
    const data = Buffer.from(JSON.stringify(createJSONRPCNotification(method, params)));
    if (data.length > MAX_DATAGRAM_BYTES) {
      this.#onError("self", `${method}: ${String(data.length)} bytes don't fit a datagram`);
      return;
    }
    for (const host of hosts) {
      this.#sentBytes += data.length;
      this.#onSent(host, data.length);
      this.#socket?.send(data, this.#port, host, () => undefined);
    }
  }

  close(): void {
    this.#socket?.close();
    this.#socket = undefined;
  }

  /** Passes over messages of a kind that only other builds know, and reports each kind once. */
  #handle({ method, params }: Notification, host: string): void {
    const handler = this.#handlers.get(method);
    if (handler) {
      handler(params, host);
    } else if (!this.#unknown.has(method) && this.#unknown.size < MAX_UNKNOWN) {
      this.#unknown.add(method);
      this.#onError(host, `unknown method ${method.slice(0, MAX_METHOD_LENGTH)}`);
    }
  }

  #receive(data: Buffer, host: string): void {
    let raw: unknown;
    try {
      raw = JSON.parse(data.toString());
    } catch {
      this.#onError(host, "not JSON");
      return;
    }
    if (isNotification(raw)) {
      this.#handle(raw, host);
    } else {
      this.#onError(host, "not a JSON-RPC notification");
    }
  }
}
