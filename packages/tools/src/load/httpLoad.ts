import { getMessage } from "@lycheepulley/core";
import { Pool } from "undici";

const RESPONSE_TIMEOUT_MS = 600_000;

/** Result of one streamed prompt. */
export interface PromptResult {
  readonly status: number;
  readonly requestId: string;
  /** Milliseconds since the intended start; undefined if no token arrived. */
  readonly firstTokenMs: number | undefined;
  readonly totalMs: number;
  readonly text: string;
  /** Whether the answer ended with its end marker. */
  readonly isWhole: boolean;
  readonly error:
    { readonly code: string; readonly verdict: string; readonly message: string } | undefined;
}

/** HTTP client that streams prompts to one origin. */
export class LoadClient {
  readonly #pool: Pool;

  constructor(origin: string, connections = 512) {
    this.#pool = new Pool(origin, {
      connections,
      headersTimeout: RESPONSE_TIMEOUT_MS,
      bodyTimeout: RESPONSE_TIMEOUT_MS,
    });
  }

  /**
   * Sends a prompt and reads its answer. Latencies count from `intendedMs`, a time of the monotonic
   * clock, so that they include delays of the sender.
   */
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

/** Returns the code of a refused connection, or "connection" for any other error. */
const getCode = (err: unknown): string =>
  typeof err === "object" && err !== null && "code" in err && err.code === "ECONNREFUSED"
    ? err.code
    : "connection";

interface AnswerEvent {
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string };
    readonly text?: string;
  }[];
  readonly error?: { readonly code: string; readonly verdict: string; readonly message: string };
}

/** Parses the server-sent events of an answer, or its JSON error body, as they arrive. */
class AnswerParser {
  text = "";
  isWhole = false;
  #buffer = "";
  #error: PromptResult["error"];

  get error(): PromptResult["error"] {
    if (!this.#error && this.#buffer.startsWith("{")) {
      this.#error = (JSON.parse(this.#buffer) as AnswerEvent).error;
    }
    return this.#error;
  }

  push(text: string): void {
    this.#buffer += text;
    for (let end = this.#buffer.indexOf("\n\n"); end >= 0; end = this.#buffer.indexOf("\n\n")) {
      this.#parseEvent(this.#buffer.slice(0, end));
      this.#buffer = this.#buffer.slice(end + 2);
    }
  }

  #parseEvent(event: string): void {
    const data = event.slice(event.indexOf("data: ") + "data: ".length);
    if (data === "[DONE]") {
      this.isWhole = true;
      return;
    }
    const parsed = JSON.parse(data) as AnswerEvent;
    this.#error = parsed.error ?? this.#error;
    const choice = parsed.choices?.[0];
    this.text += choice?.delta?.content ?? choice?.text ?? "";
  }
}
