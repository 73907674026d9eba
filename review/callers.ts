import { request, type IncomingMessage } from "node:http";

/** How one request ended for its client. */
export interface Outcome {
  readonly attemptId: string;
  readonly sentMs: number;
  readonly endMs: number;
  /** Status of the answer; undefined when the connection ended before one. */
  readonly status: number | undefined;
  readonly seal: string | undefined;
  /** The answer is complete by its framing: its length, its last chunk, or an orderly end. */
  readonly isComplete: boolean;
  readonly framing: "length" | "chunks" | "connection" | undefined;
  readonly eventIds: readonly number[];
  readonly body: string;
  readonly error: string | undefined;
}

export interface Call {
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  readonly attemptId: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly timeoutMs: number;
  readonly now: () => number;
}

/** Sends one request on a new connection, and reads its answer as a client of the pages does. */
export const call = (options: Call): Promise<Outcome> =>
  new Promise((resolve) => {
    const { now, attemptId, body = "" } = options;
    const sentMs = now();
    let res: IncomingMessage | undefined;
    let text = "";
    let hasEnded = false;
    const finish = (error: string | undefined): void => {
      if (hasEnded) {
        return;
      }
      hasEnded = true;
      clearTimeout(timer);
      const isComplete = error === undefined && res?.complete === true;
      resolve({
        ...{ attemptId, sentMs, endMs: now(), status: res?.statusCode, isComplete, error },
        ...{ seal: res?.headers["x-server-seal"]?.toString(), body: text },
        ...{ framing: res && getFraming(res), eventIds: readEventIds(text) },
      });
      req.destroy();
    };
    const req = request({
      ...{ host: options.host, port: options.port, method: options.method, path: options.path },
      ...{ agent: false },
      headers: {
        ...options.headers,
        ...{ "X-Attempt-Id": attemptId, "X-Deadline-Ms": String(options.timeoutMs) },
        ...(body === "" ? {} : { "Content-Length": String(Buffer.byteLength(body)) }),
      },
    });
    const timer = setTimeout(() => {
      finish("deadline");
    }, options.timeoutMs);
    req.on("error", (err) => {
      finish(err.message);
    });
    req.on("response", (answer) => {
      res = answer;
      answer.on("data", (chunk: Buffer) => {
        text += chunk.toString();
      });
      answer.on("error", (err) => {
        finish(err.message);
      });
      answer.on("end", () => {
        finish(answer.complete ? undefined : "cut");
      });
    });
    req.on("close", () => {
      finish("connection closed");
    });
    req.end(body);
  });

const getFraming = ({ headers }: IncomingMessage): Outcome["framing"] => {
  if (headers["transfer-encoding"] !== undefined) {
    return "chunks";
  }
  return headers["content-length"] === undefined ? "connection" : "length";
};

const readEventIds = (text: string): number[] =>
  [...text.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));
