import { getMessage, nextInt, type Random } from "@lycheepulley/core";
import { z } from "zod";

import { getExampleKey } from "../fleet/deployment.js";
import { LoadClient } from "../load/httpLoad.js";

const MAX_TRIES = 4;
/** Error code of a connection that was never made. */
const CONNECTION_REFUSED = "ECONNREFUSED";
const addressSchema = z.object({
  keepMs: z.number(),
  addresses: z.array(z.object({ host: z.string(), port: z.number() })),
});

/** Kinds of request that the soak sends. */
export const SoakKind = { Prompt: "prompt", OncePrompt: "once-prompt", Save: "save" } as const;
export type SoakKind = (typeof SoakKind)[keyof typeof SoakKind];

/** One request with the result that its caller received. */
export interface SoakRecord {
  readonly kind: SoakKind;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly key: string | undefined;
  readonly isPoison: boolean;
  readonly requestId: string;
  readonly status: number;
  /** "finished", a verdict, or "lost" when the connection broke. */
  readonly told: string;
  readonly code: string;
  readonly text: string;
  readonly tookMs: number;
}

type SoakCall = Pick<SoakRecord, "kind" | "prompt" | "maxTokens" | "key" | "isPoison">;
type SoakAnswer = Pick<SoakRecord, "requestId" | "status" | "told" | "code" | "text">;

/**
 * A caller that fetches addresses from the entry processes and keeps them as long as the answer
 * allows.
 */
export class SoakCaller {
  readonly #clients = new Map<string, LoadClient>();
  readonly #random: Random;
  readonly #customer: string;
  #bootstrapOrigins: readonly string[];
  #origins: readonly string[] = [];
  #originsExpireMs = 0;

  constructor(options: { random: Random; customer: string; bootstrapOrigins: readonly string[] }) {
    this.#random = options.random;
    this.#customer = options.customer;
    this.#bootstrapOrigins = options.bootstrapOrigins;
  }

  /** Sets the origins at which a caller without addresses fetches some. */
  setBootstrapOrigins(origins: readonly string[]): void {
    this.#bootstrapOrigins = origins;
  }

  async send(call: SoakCall): Promise<SoakRecord> {
    const startMs = performance.now();
    let answer = await this.#sendToOrigin(await this.#getOrigin(), call);
    for (let tries = 1; wasConnectionRefused(answer) && tries < MAX_TRIES; tries += 1) {
      // No connection was made, so nothing was sent: another address is safe to try.
      this.#originsExpireMs = 0;
      answer = await this.#sendToOrigin(await this.#getOrigin(), call);
    }
    return { ...call, ...answer, tookMs: performance.now() - startMs };
  }

  #sendToOrigin(origin: string, call: SoakCall): Promise<SoakAnswer> {
    return call.kind === SoakKind.Save
      ? this.#sendSave(origin, call)
      : this.#sendPrompt(origin, call);
  }

  async close(): Promise<void> {
    await Promise.all([...this.#clients.values()].map((client) => client.close()));
  }

  get #authorization(): string {
    return `Bearer ${getExampleKey(this.#customer)}`;
  }

  async #sendPrompt(
    origin: string,
    call: Pick<SoakRecord, "kind" | "prompt" | "maxTokens" | "key">,
  ): Promise<SoakAnswer> {
    const { prompt, maxTokens, key } = call;
    const result = await this.#getClient(origin).prompt({
      path: "/v1/chat/completions",
      intendedMs: performance.now(),
      headers: {
        authorization: this.#authorization,
        ...(key === undefined
          ? {}
          : { "idempotency-key": key, "x-request-class": "certification" }),
      },
      body: JSON.stringify({
        ...{ model: "traductor", stream: true, max_tokens: maxTokens },
        messages: [{ role: "user", content: prompt }],
      }),
    });
    const { requestId, status, text, isWhole, error } = result;
    const told = isWhole ? "finished" : toTold(error?.verdict);
    return { requestId, status, text, told, code: error?.code ?? "" };
  }

  async #sendSave(origin: string, call: Pick<SoakRecord, "prompt" | "key">): Promise<SoakAnswer> {
    try {
      const res = await fetch(`${origin}/services/taller/glossary`, {
        method: "POST",
        headers: { authorization: this.#authorization, "idempotency-key": call.key ?? "" },
        body: call.prompt,
      });
      const text = await res.text();
      const requestId = res.headers.get("x-request-id") ?? "";
      if (res.ok) {
        return { requestId, status: res.status, text, told: "finished", code: "" };
      }
      const { error } = errorSchema.parse(JSON.parse(text));
      return { requestId, status: res.status, text, told: error.verdict, code: error.code };
    } catch (err) {
      const cause = err instanceof Error ? err.cause : undefined;
      const code = isConnectionRefusedError(cause) ? CONNECTION_REFUSED : "connection";
      return { requestId: "", status: 0, text: getMessage(err), told: "lost", code };
    }
  }

  async #getOrigin(): Promise<string> {
    if (performance.now() > this.#originsExpireMs) {
      await this.#fetchAddresses();
    }
    return (
      this.#origins[nextInt(this.#random, this.#origins.length)] ?? this.#bootstrapOrigins[0] ?? ""
    );
  }

  async #fetchAddresses(): Promise<void> {
    for (const origin of [...this.#origins, ...this.#bootstrapOrigins]) {
      try {
        const res = await fetch(`${origin}/v1/address`, { signal: AbortSignal.timeout(1_000) });
        const { addresses, keepMs } = addressSchema.parse(await res.json());
        if (addresses.length > 0) {
          this.#origins = addresses.map(({ host, port }) => `http://${host}:${String(port)}`);
          this.#originsExpireMs = performance.now() + keepMs;
          return;
        }
      } catch {
        // Try the next origin.
      }
    }
  }

  #getClient(origin: string): LoadClient {
    const client = this.#clients.get(origin) ?? new LoadClient(origin, 64);
    this.#clients.set(origin, client);
    return client;
  }
}

const wasConnectionRefused = ({ told, code }: SoakAnswer): boolean =>
  told === "lost" && code === CONNECTION_REFUSED;

const isConnectionRefusedError = (err: unknown): boolean =>
  typeof err === "object" && err !== null && "code" in err && err.code === CONNECTION_REFUSED;

const errorSchema = z.object({ error: z.object({ verdict: z.string(), code: z.string() }) });

const toTold = (verdict: string | undefined): string =>
  verdict === undefined || verdict === "unknown" ? "lost" : verdict;
