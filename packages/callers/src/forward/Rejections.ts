import type { ServerResponse } from "node:http";

import type { ProcessLifecycle } from "@lycheepulley/core";
import { LEAVING_RETRY_AFTER_MS, type FleetView, type RequestHead } from "@lycheepulley/forwarding";
import type { Logger } from "@lycheepulley/telemetry";

import type { Rejection } from "./AdmissionPolicy.js";
import { OVERLOADED, sendOverloadAnswer } from "./overloadAnswer.js";
import type { ResponseWriter } from "./ResponseWriter.js";

/** Outages of the configuration source last seconds; an earlier retry would fail as well. */
const UNCONFIGURED_RETRY_MS = 3_000;

/** Answers requests that aren't forwarded, and logs why. */
export class Rejections {
  readonly #lifecycle: ProcessLifecycle;
  readonly #view: FleetView;
  readonly #logger: Logger;

  constructor(options: { lifecycle: ProcessLifecycle; view: FleetView; logger: Logger }) {
    this.#lifecycle = options.lifecycle;
    this.#view = options.view;
    this.#logger = options.logger;
  }

  reject(head: RequestHead, writer: ResponseWriter, rejection: Rejection): void {
    this.#log(head, rejection);
    const { status, message, retryAfterMs = UNCONFIGURED_RETRY_MS } = rejection;
    const returnMs = this.#lifecycle.isLeaving ? LEAVING_RETRY_AFTER_MS : retryAfterMs;
    writer.sendOwn(status, message, status === 503 ? returnMs : undefined);
  }

  /** Rejects one of many requests that have waited too long, at little cost. */
  rejectOverload(res: ServerResponse, readHead: () => RequestHead, retryAfterMs: number): void {
    const { isLeaving } = this.#lifecycle;
    try {
      this.#log(readHead(), OVERLOADED);
    } catch {
      // A head that can't be read is answered all the same.
    }
    sendOverloadAnswer(res, isLeaving ? LEAVING_RETRY_AFTER_MS : retryAfterMs, isLeaving);
  }

  #log(head: RequestHead, { status, message }: Rejection): void {
    this.#logger.info("request rejected", {
      ...{ requestId: head.attemptId, step: "admit", status, reason: message },
      ...{ host: head.host, path: head.path, revision: this.#view.revision },
    });
  }
}
