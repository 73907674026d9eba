import { toTimerMs } from "@lycheepulley/core";
import { NodeClient, type RpcMethod } from "@lycheepulley/nodes";
import type { z } from "zod";

/** Calls methods of peers that a request waits for, each with a short time-out. */
export class PeerCalls {
  readonly #port: number;
  readonly #timeoutMs: number;
  readonly #clients = new Map<string, NodeClient>();

  constructor(options: { port: number; timeoutMs: number }) {
    this.#port = options.port;
    this.#timeoutMs = options.timeoutMs;
  }

  /** Calls a method of a peer; rejects when it doesn't answer in time. */
  async call<P extends z.ZodType, R extends z.ZodType>(
    host: string,
    method: RpcMethod<P, R>,
    params: z.input<P>,
  ): Promise<z.output<R>> {
    const timeoutMs = this.#timeoutMs;
    const signal = AbortSignal.timeout(toTimerMs(timeoutMs));
    try {
      return await this.#getClient(host).call(method, params, { timeoutMs, signal });
    } catch (err) {
      // The next call opens new connections, also to a process that was replaced meanwhile.
      void this.#clients.get(host)?.close();
      this.#clients.delete(host);
      throw err;
    }
  }

  close(): void {
    this.#clients.forEach((client) => void client.close());
    this.#clients.clear();
  }

  #getClient(host: string): NodeClient {
    let client = this.#clients.get(host);
    if (!client) {
      client = new NodeClient({ name: host, origin: `http://${host}:${String(this.#port)}` });
      this.#clients.set(host, client);
    }
    return client;
  }
}
