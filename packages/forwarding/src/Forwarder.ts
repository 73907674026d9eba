import type { Clock, Random } from "@lycheepulley/core";
import type { Logger } from "@lycheepulley/telemetry";

import type { CrashBook } from "./CrashBook.js";
import type { FleetView } from "./FleetView.js";
import { ForwardJob } from "./ForwardJob.js";
import type { LoadBoard } from "./LoadBoard.js";
import { Placer } from "./Placer.js";
import type { RetryWindow } from "./RetryWindow.js";
import type { TicketKeeper } from "./TicketKeeper.js";
import type {
  AnswerWriter,
  Dialect,
  ForwardRequest,
  UpstreamControl,
  UpstreamTransport,
} from "./types.js";
import type { UpstreamHealth } from "./UpstreamHealth.js";

/** How a forwarded request ended, for metrics. */
export interface ForwardEnd {
  readonly route: string;
  readonly result: string;
  readonly firstMs: number | undefined;
  readonly totalMs: number;
  readonly sends: number;
}

/** Parts that requests share. */
export interface ForwardParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly view: FleetView;
  readonly board: LoadBoard;
  readonly health: UpstreamHealth;
  readonly retries: RetryWindow;
  readonly crashes: CrashBook;
  readonly tickets: TicketKeeper;
  readonly control: UpstreamControl;
  readonly transport: UpstreamTransport;
  readonly dialect: Dialect;
  readonly logger: Logger;
  readonly onEnd: (end: ForwardEnd) => void;
}

/** Forwards requests to upstreams and their answers to callers. */
export class Forwarder {
  readonly #parts: ForwardParts;
  readonly #placer: Placer;
  #inFlight = 0;

  constructor(parts: ForwardParts) {
    this.#parts = parts;
    this.#placer = new Placer(parts);
  }

  /** Requests that have no final answer yet. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Resolves when the caller has its final answer or left. */
  async forward(req: ForwardRequest, writer: AnswerWriter): Promise<void> {
    this.#inFlight += 1;
    try {
      await new ForwardJob({ parts: this.#parts, placer: this.#placer, req, writer }).run();
    } finally {
      this.#inFlight -= 1;
      this.#parts.board.removeOwn(req.head.attemptId);
    }
  }
}
