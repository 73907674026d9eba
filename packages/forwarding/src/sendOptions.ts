import type { Clock } from "@lycheepulley/core";
import type { AnswerTally } from "@lycheepulley/telemetry";

import type { AnswerObserver, AnswerProgress } from "./answerProgress.js";
import type { StallTimeouts } from "./StallWatch.js";
import type { AnswerWriter, Dialect, ForwardRequest } from "./types.js";

/** What one send needs. */
export interface SendOptions {
  readonly clock: Clock;
  readonly dialect: Dialect;
  readonly req: ForwardRequest;
  readonly writer: AnswerWriter;
  readonly progress: AnswerProgress;
  /** Undefined when no other upstream may take over. */
  readonly timeouts: StallTimeouts | undefined;
  readonly observer: AnswerObserver;
  /** Counts what the answer costs. */
  readonly tally?: AnswerTally | undefined;
  /** Asks the upstream whether it is alive. */
  readonly isAlive: () => Promise<boolean>;
  /** True when the upstream accepts a connection now. Never rejects. */
  readonly accepts: () => Promise<boolean>;
}
