import { getMessage } from "@lycheepulley/core";
import { Pool } from "undici";

const TIMEOUT_MS = 600_000;

/** What came of one streamed prompt. */
export interface PromptResult {
  readonly status: number;
  readonly requestId: string;
  /** Milliseconds from the intended start. */
  readonly firstTokenMs: number | undefined;
  readonly totalMs: number;
  readonly text: string;
  /** The answer ended with its end marker. */
  readonly isWhole: boolean;
  readonly error:
    { readonly code: string; readonly verdict: string; readonly message: string } | undefined;
}

/** Connections to one caller port. */
export class LoadClient {
  readonly #pool: Pool;

  constructor(origin: string, connections = 512) {
    this.#pool = new Pool(origin, {
      connections,
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS,
    });
  }

  /** Streams a prompt; latencies count from `intendedMs` of the monotonic clock. */
  async prompt(call: {
    path: string;
    body: string | Buffer;
    headers: Readonly<Record<string, string>>;
    intendedMs: number;
  }): Promise<PromptResult> {
    const parser = new AnswerParser();
    let status = 0;
    let requestId = "";
    let firstTokenMs: number | undefined;
    let failure: { code: string; message: string } | undefined;
    try {
      const res = await this.#pool.request({
        path: call.path,
        method: "POST",
        headers: { "content-type": "application/json", ...call.headers },
        body: call.body,
      });
      status = res.statusCode;
      requestId = String(res.headers["x-request-id"] ?? "");
      for await (const bytes of res.body as AsyncIterable<Buffer>) {
        parser.push(bytes.toString());
        if (firstTokenMs === undefined && parser.text !== "") {
          firstTokenMs = performance.now() - call.intendedMs;
        }
      }
    } catch (err) {
      failure = { code: getCode(err), message: getMessage(err) };
    }
    return {
      status,
      requestId,
      firstTokenMs,
      totalMs: performance.now() - call.intendedMs,
      text: parser.text,
      isWhole: parser.isWhole,
      error:
        parser.error ?? (failure === undefined ? undefined : { ...failure, verdict: "unknown" }),
    };
  }

  close(): Promise<void> {
    return this.#pool.destroy();
  }
}

/** Code of a connection that was refused, or "connection" for one that broke. */
const getCode = (err: unknown): string =>
  typeof err === "object" && err !== null && "code" in err && err.code === "ECONNREFUSED"
    ? err.code
    : "connection";

interface Event {
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string };
    readonly text?: string;
  }[];
  readonly error?: { readonly code: string; readonly verdict: string; readonly message: string };
}

/** Reads an answer's events or its error body as it arrives. */
class AnswerParser {
  text = "";
  isWhole = false;
  #buffer = "";
  #error: PromptResult["error"];

  get error(): PromptResult["error"] {
    if (!this.#error && this.#buffer.startsWith("{")) {
      this.#error = (JSON.parse(this.#buffer) as Event).error;
    }
    return this.#error;
  }

  push(text: string): void {
    this.#buffer += text;
    for (let end = this.#buffer.indexOf("\n\n"); end >= 0; end = this.#buffer.indexOf("\n\n")) {
      this.#read(this.#buffer.slice(0, end));
      this.#buffer = this.#buffer.slice(end + 2);
    }
  }

  #read(event: string): void {
    const data = event.slice(event.indexOf("data: ") + "data: ".length);
    if (data === "[DONE]") {
      this.isWhole = true;
      return;
    }
    const parsed = JSON.parse(data) as Event;
    this.#error = parsed.error ?? this.#error;
    const choice = parsed.choices?.[0];
    this.text += choice?.delta?.content ?? choice?.text ?? "";
  }
}
