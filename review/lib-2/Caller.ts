import { request } from "node:http";

import { API_KEY, ROUTE_HOST } from "./Deployment.js";
import type { Recorder } from "./Recorder.js";

/** How one client attempt ended; status 0 stands for a connection without an answer. */
export interface Ended {
  readonly attempt: string;
  readonly status: number;
  readonly isWhole: boolean;
}

/** A client attempt: where it goes and what it sends. */
export interface Attempt {
  readonly host: string;
  readonly port: number;
  readonly path: string;
  readonly body: Buffer;
  readonly deadlineMs: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly recorder: Recorder;
  /** False for one of many whose answers aren't recorded unless they fail. */
  readonly isRecorded?: boolean;
}

export const toHex = (length: number): string =>
  Array.from({ length }, () => Math.floor(Math.random() * 16).toString(16)).join("");

/** Sends a request on a new connection, as a client does, and resolves at the end of its answer. */
export const sendAttempt = (sent: Attempt): Promise<Ended> =>
  new Promise((resolve) => {
    const { host, port, path, body, deadlineMs, headers, recorder, isRecorded = true } = sent;
    const attempt = toHex(16);
    const end = (status: number, isWhole: boolean): void => {
      if (isRecorded || status !== 200 || !isWhole) {
        const how = isWhole ? "whole" : "cut";
        recorder.add(`client   ${attempt} to ${host}${path}: ${String(status)}, ${how}`);
      }
      resolve({ attempt, status, isWhole });
    };
    const req = request(
      {
        ...{ host, port, method: "POST", path, agent: false },
        headers: {
          ...{ host: ROUTE_HOST, "x-attempt-id": attempt, "api-key": API_KEY, ...headers },
          ...{ "x-deadline-ms": String(deadlineMs), "content-length": String(body.length) },
        },
      },
      (res) => {
        res.resume();
        res.on("end", () => {
          end(res.statusCode ?? 0, true);
        });
        res.on("error", () => {
          end(res.statusCode ?? 0, false);
        });
      },
    );
    req.on("error", () => {
      end(0, false);
    });
    if (isRecorded) {
      recorder.add(`client   ${attempt} to ${host}${path}: sent`);
    }
    req.end(body);
  });

/** Headers of a prompt of this length, of which no part but the first is shared. */
export const newPromptHeaders = (
  promptTokens: number,
  outputTokens: number,
): Record<string, string> => ({
  "x-model": "m",
  "x-token-counts": `${String(promptTokens)},${String(outputTokens)}`,
  "x-prompt-prefix": `${toHex(8)}:40,${toHex(8)}:${String(promptTokens - 40)}`,
});
