import { PeerError } from "@lycheepulley/core";
import { HttpPeer } from "@lycheepulley/http";
import type { Dispatcher } from "undici";

/** Parameters of one call to a plain service. */
export interface ServiceCall {
  readonly method: "GET" | "HEAD" | "POST" | "PUT" | "PATCH" | "DELETE";
  /** Path and query, relative to the service's origin. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | undefined;
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
  /** Called once the request may have been sent, at least in part. */
  readonly onSend?: () => void;
}

/** Response of a plain service, with its body as text. */
export interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Client of one instance of a plain service. */
export interface ServiceClient {
  readonly name: string;
  /** Calls the service; rejects with a PeerError that says whether bytes were sent. */
  call(call: ServiceCall): Promise<ServiceAnswer>;
  close(): Promise<void>;
}

/** Statuses of answers that never have a body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** True when the end of an answer can be told from that of its connection. */
const hasKnownEnd = (
  method: ServiceCall["method"],
  { statusCode, headers }: Pick<Dispatcher.ResponseData, "statusCode" | "headers">,
): boolean =>
  "content-length" in headers ||
  "transfer-encoding" in headers ||
  method === "HEAD" ||
  BODILESS_STATUSES.has(statusCode);

/** Client of a plain service over HTTP. */
export class HttpServiceClient implements ServiceClient {
  readonly name: string;
  readonly #peer: HttpPeer;

  constructor(options: { name: string; origin: string }) {
    this.name = options.name;
    this.#peer = new HttpPeer({ ...options, kind: "service", reusesConnections: false });
  }

  async call(call: ServiceCall): Promise<ServiceAnswer> {
    call.onSend?.();
    const { method, path, headers, body, timeoutMs, signal } = call;
    const res = await this.#peer.open(path, { method, headers, body, timeoutMs, signal });
    try {
      const contentType = res.headers["content-type"];
      const answer = {
        status: res.statusCode,
        contentType: typeof contentType === "string" ? contentType : "application/octet-stream",
        body: await res.body.text(),
      };
      // The connections of a service that crashes end in order, as after a complete answer.
      if (!hasKnownEnd(method, res) && !(await this.#peer.accepts())) {
        throw new PeerError(this.name, "the service ended with its answer", { sent: true });
      }
      return answer;
    } catch (err) {
      throw this.#peer.toPeerError(err);
    }
  }

  close(): Promise<void> {
    return this.#peer.close();
  }
}
