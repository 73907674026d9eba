import { PeerError } from "@lycheepulley/core";
import type { ServiceAnswer, ServiceCall, ServiceClient } from "@lycheepulley/services";

import type { MatrixClock, ProcessClock } from "./MatrixClock.js";

const CALL_DELAY_MS = 5;
const RESTART_DELAY_MS = 3_000;

/** One run in the service's own record. */
export interface ServiceRun {
  readonly requestId: string;
  readonly key: string | undefined;
  readonly atMs: number;
}

/** In-memory plain service with injectable faults. */
export class FakeService {
  readonly name: string;
  readonly runs: ServiceRun[] = [];
  readonly #clock: MatrixClock;
  #isUp = true;
  /** Number of calls still to run without an answer. */
  loseAnswers = 0;

  constructor(name: string, clock: MatrixClock) {
    this.name = name;
    this.#clock = clock;
  }

  crash(): void {
    this.#isUp = false;
    this.#clock.setTimer(() => {
      this.#isUp = true;
    }, RESTART_DELAY_MS);
  }

  newClient(process: ProcessClock): ServiceClient {
    return {
      name: this.name,
      call: (call) => process.settleWhenRunning(this.#call(call)),
      close: () => Promise.resolve(),
    };
  }

  async #call(call: ServiceCall): Promise<ServiceAnswer> {
    call.onSend?.();
    await this.#delay();
    if (!this.#isUp) {
      throw new PeerError(this.name, "connection refused", { sent: false });
    }
    const requestId = call.headers["x-request-id"] ?? "";
    const key = call.headers["idempotency-key"];
    this.runs.push({ requestId, key, atMs: this.#clock.now() });
    if (this.loseAnswers > 0) {
      this.loseAnswers -= 1;
      throw new PeerError(this.name, "answer lost", { sent: true });
    }
    await this.#delay();
    if (!this.#isUp) {
      throw new PeerError(this.name, "connection reset", { sent: true });
    }
    return { status: 201, contentType: "text/plain", body: `saved ${requestId}` };
  }

  #delay(): Promise<void> {
    return new Promise((resolve) => {
      this.#clock.setTimer(resolve, CALL_DELAY_MS);
    });
  }
}
