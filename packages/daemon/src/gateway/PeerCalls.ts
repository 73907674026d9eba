import { toTimerMs } from "@lycheepulley/core";
import { NodeClient, type RpcMethod } from "@lycheepulley/nodes";
import type { z } from "zod";

/** Time that a request waits for the answer of a process that owns a quota or a trial. */
const OWNER_TIMEOUT_MS = 80;

/** Calls methods of peers that a request waits for, each with a short time-out. */
export class PeerCalls {
  readonly #port: number;
  readonly #clients = new Map<string, NodeClient>();

  constructor(port: number) {
    this.#port = port;
  }

  /** Calls a method of a peer; rejects when it doesn't answer in time. */
  async call<P extends z.ZodType, R extends z.ZodType>(
    host: string,
    method: RpcMethod<P, R>,
    params: z.input<P>,
  ): Promise<z.output<R>> {
    const timeoutMs = OWNER_TIMEOUT_MS;
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
