import { getMessage } from "@lycheepulley/core";
import { HttpServer, readBody, sendJson, type Route } from "@lycheepulley/http";
import { JSONRPCServer } from "json-rpc-2.0";
import type { z } from "zod";

import type { RpcMethod, RpcRegistrar } from "./rpc.js";

const MAX_BODY_BYTES = 16_000_000;
/** Estimated size of the start lines and headers of a request or a response. */
const HEADER_BYTES = 250;

/** JSON-RPC server over HTTP for other entry processes and operators. */
export class NodeServer implements RpcRegistrar {
  readonly #rpc = new JSONRPCServer({ errorListener: () => undefined });
  readonly #server: HttpServer;
  #receivedBytes = 0;
  #sentBytes = 0;

  constructor(routes: readonly Route[] = []) {
    this.#server = new HttpServer(
      [...routes, { method: "POST", path: "/rpc", handle: (req, res) => this.#receive(req, res) }],
      (err, _req, res) => {
        sendJson(res, 400, { error: { message: getMessage(err) } });
      },
    );
  }

  get port(): number {
    return this.#server.port;
  }

  get connections(): number {
    return this.#server.connections;
  }

  /** Bytes of received calls and sent answers, with estimated headers. */
  get traffic(): { receivedBytes: number; sentBytes: number } {
    return { receivedBytes: this.#receivedBytes, sentBytes: this.#sentBytes };
  }

  /** Serves one method with `fn`, after its parameters are validated. */
  handle<P extends z.ZodType, R extends z.ZodType>(
    method: RpcMethod<P, R>,
    fn: (params: z.output<P>) => z.input<R> | Promise<z.input<R>>,
  ): void {
    this.#rpc.addMethod(method.name, async (raw: unknown) => fn(method.params.parse(raw)));
  }

  listen(host: string, port: number): Promise<void> {
    return this.#server.listen(host, port);
  }

  close(): Promise<void> {
    return this.#server.close();
  }

  async #receive(
    req: Parameters<Route["handle"]>[0],
    res: Parameters<Route["handle"]>[1],
  ): Promise<void> {
    const body = await readBody(req, MAX_BODY_BYTES);
    const answer = Buffer.from(JSON.stringify(await this.#rpc.receiveJSON(body.toString())));
    this.#receivedBytes += body.length + HEADER_BYTES;
    this.#sentBytes += answer.length + HEADER_BYTES;
    res.writeHead(200, { "content-length": String(answer.length) });
    res.end(answer);
  }
}
