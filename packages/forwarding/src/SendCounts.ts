import type { LiveSend } from "./liveSend.js";
import { SendResult, type SendOutcome } from "./outcomes.js";

/** Counts the sends of one request. */
export class SendCounts {
  #sends = 0;
  #unsent = 0;
  #mayHaveRun = false;

  /** Sends whose bytes reached an upstream or may do so. */
  get sends(): number {
    return this.#sends;
  }

  /** Sends that ended before a byte could reach an upstream. */
  get unsent(): number {
    return this.#unsent;
  }

  /** One of the sends may have run the request. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  start(): void {
    this.#sends += 1;
  }

  end({ evidence }: LiveSend, { result }: SendOutcome): void {
    if (result === SendResult.Unsent || result === SendResult.NoMemory) {
      this.#unsent += 1;
    }
    if (!evidence || result === SendResult.Unsent) {
      this.#sends -= 1;
      return;
    }
    this.#mayHaveRun ||= result !== SendResult.NotRun;
  }
}
