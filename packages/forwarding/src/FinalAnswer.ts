import type { AnswerTimeline } from "./AnswerTimeline.js";
import type { ForwardDependencies } from "./forwardDependencies.js";
import { deliverAnswer } from "./answerEnd.js";
import { SendResult, type SendOutcome } from "./outcomes.js";
import { AnswerEnding, type RequestLog } from "./RequestLog.js";
import type { AnswerProgress } from "./answerProgress.js";
import type { AnswerWriter, ForwardRequest } from "./types.js";

/** Ends a request: sends the final answer to its caller, and reports the end. */
export class FinalAnswer {
  readonly #deps: ForwardDependencies;
  readonly #req: ForwardRequest;
  readonly #writer: AnswerWriter;
  readonly #progress: AnswerProgress;
  readonly #timeline: AnswerTimeline;
  readonly #log: RequestLog;
  readonly #getSends: () => number;
  /** The newest error answer of an upstream that is complete. */
  #errorAnswer: SendOutcome | undefined;

  constructor(options: {
    deps: ForwardDependencies;
    req: ForwardRequest;
    writer: AnswerWriter;
    progress: AnswerProgress;
    timeline: AnswerTimeline;
    log: RequestLog;
    getSends: () => number;
  }) {
    this.#deps = options.deps;
    this.#req = options.req;
    this.#writer = options.writer;
    this.#progress = options.progress;
    this.#timeline = options.timeline;
    this.#log = options.log;
    this.#getSends = options.getSends;
  }

  /** Answers that the request didn't run. */
  reject(reason: string, retryAfterMs: number): void {
    const ending = this.#sendOwn(503, `not run: ${reason}`, retryAfterMs);
    this.#end("refused", ending, reason);
  }

  /** Keeps an upstream's complete error answer, in case that later sends bring no answer. */
  recordOutcome(outcome: SendOutcome): void {
    if (outcome.result === SendResult.Failed && outcome.answer) {
      this.#errorAnswer = outcome;
    }
  }

  /** Passes on the error answer that there is, or answers that the request may have run. */
  fail(outcome: SendOutcome): void {
    if (this.#errorAnswer && !this.#progress.isHeadSent) {
      this.deliver(this.#errorAnswer);
      return;
    }
    const { result, reason, answer } = outcome;
    const status = result === SendResult.TimedOut ? 504 : 502;
    const ending = this.#sendOwn(status, `may have run: ${reason}`);
    this.#end("failed", ending, answer ? `${reason} (${String(answer.head.status)})` : reason);
  }

  /** Passes an upstream's error answer on. */
  deliver({ answer }: SendOutcome): void {
    let ending: AnswerEnding = AnswerEnding.Whole;
    if (!answer || this.#progress.isHeadSent) {
      ending = this.#cutPart();
    } else {
      deliverAnswer(answer, this.#writer, this.#deps.dialect);
    }
    this.#end("upstream_failure", ending);
  }

  /** Records the end of a request whose answer was delivered or whose caller left. */
  finish({ result }: SendOutcome): void {
    this.#end(result, result === SendResult.Delivered ? AnswerEnding.Whole : AnswerEnding.None);
  }

  /** Sends an answer of this process, or cuts the answer that the caller already receives. */
  #sendOwn(status: number, message: string, retryAfterMs?: number): AnswerEnding {
    if (this.#progress.isHeadSent) {
      return this.#cutPart();
    }
    this.#writer.sendOwn(status, message, retryAfterMs);
    return AnswerEnding.Own;
  }

  /** Cuts an answer that the caller has a part of, which it then doesn't take for all. */
  #cutPart(): AnswerEnding {
    this.#writer.abort();
    return AnswerEnding.Cut;
  }

  #end(result: string, ending: AnswerEnding, reason?: string): void {
    const totalMs = this.#deps.clock.now() - this.#req.receivedMs;
    const sends = this.#getSends();
    this.#log.logEnd(this.#timeline, { result, reason, ending, sends, totalMs });
    const { firstMs } = this.#timeline;
    this.#deps.onEnd({ route: this.#req.route.name, result, firstMs, totalMs, sends });
  }
}
