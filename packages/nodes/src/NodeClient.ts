import { isPeerError, PeerError, type TrafficMeter } from "@lycheepulley/core";
import { HttpPeer } from "@lycheepulley/http";
import { createJSONRPCRequest, isJSONRPCResponse, JSONRPCClient } from "json-rpc-2.0";
import type { z } from "zod";

import type { RpcMethod } from "./rpc.js";

const DEFAULT_TIMEOUT_MS = 1_500;

/** Calls JSON-RPC methods of another entry process. */
export interface RpcClient {
  readonly name: string;
  call<P extends z.ZodType, R extends z.ZodType>(
    method: RpcMethod<P, R>,
    params: z.input<P>,
    options?: { timeoutMs?: number; signal?: AbortSignal | undefined },
  ): Promise<z.output<R>>;
  close(): Promise<void>;
}

interface CallOptions {
  readonly timeoutMs: number;
  readonly signal: AbortSignal | undefined;
}

/** JSON-RPC client for one entry process, over HTTP. */
export class NodeClient implements RpcClient {
  readonly name: string;
  readonly #peer: HttpPeer;
  readonly #rpc: JSONRPCClient<CallOptions>;
  #nextId = 1;

  constructor(options: {
    name: string;
    origin: string;
    traffic?: TrafficMeter | undefined;
    kind?: string;
  }) {
    const { name, origin, traffic } = options;
    this.name = name;
    this.#peer = new HttpPeer({ name, origin, kind: options.kind ?? "node", traffic });
    this.#rpc = new JSONRPCClient((payload, params) => this.#post(payload, params));
  }

  async call<P extends z.ZodType, R extends z.ZodType>(
    method: RpcMethod<P, R>,
    params: z.input<P>,
    options: { timeoutMs?: number; signal?: AbortSignal | undefined } = {},
  ): Promise<z.output<R>> {
    const id = this.#nextId++;
    const request = createJSONRPCRequest(id, method.name, params);
    const answer = await this.#rpc.requestAdvanced(request, {
      timeoutMs: options.timeoutMs ?? DEFAULT_TIMEOUT_MS,
      signal: options.signal,
    });
    if (answer.error) {
      throw new PeerError(this.name, `${method.name}: ${answer.error.message}`, { sent: true });
    }
    return method.result.parse(answer.result);
  }

  close(): Promise<void> {
    return this.#peer.close();
  }

  async #post(payload: unknown, params: CallOptions): Promise<void> {
    const { status, text } = await this.#peer.call("/rpc", {
      method: "POST",
      body: JSON.stringify(payload),
      timeoutMs: params.timeoutMs,
      signal: params.signal,
    });
    const answer: unknown = JSON.parse(text);
    if (status !== 200 || !isJSONRPCResponse(answer)) {
      throw new PeerError(this.name, `status ${String(status)}: ${text.slice(0, 200)}`, {
        sent: true,
        status,
      });
    }
    this.#rpc.receive(answer);
  }
}

/** True when a failed call certainly didn't reach the other process. */
export const isUnsent = (err: unknown): boolean => isPeerError(err) && !err.sent;
