import {
  AnswerEnd,
  Closing,
  Framing,
  type Cancel,
  type Clock,
  type EndReport,
} from "@lycheepulley/core";
import type { CallObserver, Upstream, UpstreamCall } from "@lycheepulley/forwarding";
import { SendState } from "@lycheepulley/forwarding";

import { readFields, type CallFields } from "./simulatedDialect.js";
import { WorkerModel, type WorkerSpec } from "./WorkerModel.js";

const FRAMED_END: EndReport = {
  ...{ end: AnswerEnd.Whole, framing: Framing.Chunks, closing: Closing.Orderly },
};

/** Time that work which depends on a dead upstream stalls before it is cut off, milliseconds. */
const STALL_MS = 1_500;

/** Part of prompts that crashes an upstream which begins to write an answer on it. */
export const CRASHING_PART = "crashing";
/** Time between the first event of such an answer and the crash, milliseconds. */
const CRASH_DELAY_MS = 40;

/** State of a simulated upstream. */
export const UpstreamState = {
  Serving: "serving",
  /** Its connections hang, as those of a VM without power do. */
  Dead: "dead",
  /** Its connections are reset, as those of an ended process are. */
  Ended: "ended",
} as const;
export type UpstreamState = (typeof UpstreamState)[keyof typeof UpstreamState];

/** A call in progress at a simulated upstream. */
interface RunningCall {
  readonly id: string;
  readonly observer: CallObserver;
  readonly helpers: readonly SimulatedUpstream[];
  /** Events that the caller has from an earlier call. */
  readonly skipped: number;
  readonly isCrashing: boolean;
  partsLeft: number;
  eventId: number;
  isEnded: boolean;
}

/** Upstream that answers calls from a `WorkerModel`, without a network. */
export class SimulatedUpstream {
  readonly upstream: Upstream;
  readonly model: WorkerModel;
  readonly #clock: Clock;
  readonly #delayMs: number;
  readonly #find: (id: string) => SimulatedUpstream | undefined;
  readonly #calls = new Set<RunningCall>();
  readonly #onCrash: () => void;
  #state: UpstreamState = UpstreamState.Serving;
  /** Requests a second that the upstream names as its limit; undefined for no limit. */
  limitPerSecond: number | undefined;
  /** Time until which the upstream is cold. */
  coldUntilMs = -Infinity;
  /** Times at which requests arrived while it was cold. */
  readonly coldArrivals: number[] = [];
  /** Times at which requests arrived. */
  readonly arrivals: number[] = [];
  /** The same for those with the crashing part. */
  readonly crashingArrivals: number[] = [];
  #nextCall = 1;

  constructor(options: {
    clock: Clock;
    upstream: Upstream;
    spec: WorkerSpec;
    /** Delay of the network in one direction, milliseconds. */
    delayMs: number;
    find: (id: string) => SimulatedUpstream | undefined;
    /** Called when a prompt crashes the upstream. */
    onCrash: () => void;
  }) {
    this.#onCrash = options.onCrash;
    this.#clock = options.clock;
    this.upstream = options.upstream;
    this.model = new WorkerModel(options.spec, options.clock);
    this.#delayMs = options.delayMs;
    this.#find = options.find;
  }

  get state(): UpstreamState {
    return this.#state;
  }

  /** Makes the upstream cold, and slow, for some time. */
  cool({ durationMs, pace }: { durationMs: number; pace: number }): void {
    this.coldUntilMs = this.#clock.now() + durationMs;
    this.model.pace = pace;
    this.#clock.setTimer(() => {
      this.model.pace = this.#clock.now() < this.coldUntilMs ? pace : 1;
    }, durationMs);
  }

  /** Ends the upstream; calls in progress are reset or, without power, hang. */
  end(state: UpstreamState): void {
    this.#state = state;
    this.model.clear();
    for (const call of this.#calls) {
      if (state === UpstreamState.Ended) {
        this.#fail(call, "connection reset");
      }
    }
  }

  open(headers: readonly string[], observer: CallObserver): UpstreamCall {
    const fields = readFields(headers);
    let call: RunningCall | undefined;
    let isAborted = false;
    this.#later(() => {
      if (!isAborted) {
        call = this.#accept(fields, observer);
      }
    });
    return {
      pause: () => undefined,
      resume: () => undefined,
      abort: () => {
        isAborted = true;
        this.#later(() => {
          if (call) {
            this.#stop(call);
          }
        });
      },
    };
  }

  #accept(fields: CallFields, observer: CallObserver): RunningCall | undefined {
    if (this.#state === UpstreamState.Ended) {
      this.#later(() => {
        observer.onError(SendState.Unsent, new Error("connection refused"));
      });
      return undefined;
    }
    const helpers = fields.helpers.flatMap((id) => this.#find(id) ?? []);
    const call: RunningCall = {
      ...{ id: `${fields.attemptId}-${String(this.#nextCall++)}`, observer, helpers },
      ...{ skipped: fields.lastEventId, partsLeft: helpers.length + 1, isEnded: false },
      eventId: fields.lastEventId,
      isCrashing: fields.parts.includes(CRASHING_PART),
    };
    this.#calls.add(call);
    this.arrivals.push(this.#clock.now());
    if (this.#clock.now() < this.coldUntilMs) {
      this.coldArrivals.push(this.#clock.now());
    }
    if (call.isCrashing) {
      this.crashingArrivals.push(this.#clock.now());
    }
    if (this.#state === UpstreamState.Serving) {
      this.#run(call, fields);
    }
    return call;
  }

  #run(call: RunningCall, fields: CallFields): void {
    const gone = call.helpers.find(({ state }) => state !== UpstreamState.Serving);
    if (gone) {
      this.#clock.setTimer(() => {
        this.#reject(call, gone.upstream);
      }, STALL_MS);
      return;
    }
    const members = call.helpers.length + 1;
    const { promptTokens, urgency } = fields;
    const outputTokens = Math.max(
      1,
      fields.outputTokens - call.skipped * this.model.spec.stepsPerPass,
    );
    const job = {
      ...{ id: call.id, promptTokens, partTokens: promptTokens / members, members, urgency },
      onPrefilled: () => {
        this.#onPart(call);
      },
    };
    const isAccepted =
      this.model.submit({
        ...{ ...job, outputTokens, isHelper: false },
        kvTokens: Math.max(0, promptTokens + outputTokens - fields.heldTokens),
        onTokens: (_decoded, isLast) => {
          this.#onTokens(call, isLast);
        },
      }) &&
      call.helpers.every((helper) =>
        helper.model.submit({
          ...{ ...job, outputTokens: 0, kvTokens: 0, isHelper: true },
          onTokens: () => undefined,
        }),
      );
    if (!isAccepted) {
      this.#reject(call, undefined);
    }
  }

  #onPart(call: RunningCall): void {
    call.partsLeft -= 1;
    if (call.partsLeft > 0) {
      return;
    }
    const gone = call.helpers.find(({ state }) => state !== UpstreamState.Serving);
    if (gone) {
      this.#reject(call, gone.upstream);
    } else {
      this.model.startDecoding(call.id);
    }
  }

  #onTokens(call: RunningCall, isLast: boolean): void {
    call.eventId += 1;
    const id = call.eventId;
    if (call.isCrashing && id === call.skipped + 1) {
      this.#clock.setTimer(this.#onCrash, CRASH_DELAY_MS);
    }
    this.#later(() => {
      if (call.isEnded) {
        return;
      }
      if (id === call.skipped + 1) {
        call.observer.onHead({ status: 200, headers: ["stream", "1", ...this.#limitHeaders] });
      }
      call.observer.onData(Buffer.from(`id: ${String(id)}\ndata: x\n\n`));
      if (isLast) {
        this.#forget(call);
        call.observer.onEnd(FRAMED_END);
      }
    });
  }

  #reject(call: RunningCall, faulty: Upstream | undefined): void {
    this.#stop(call);
    const fault = faulty ? ["fault", `${faulty.host}:${String(faulty.port)}`] : [];
    this.#later(() => {
      call.observer.onHead({
        status: 503,
        headers: ["not-run", "1", ...fault, ...this.#limitHeaders],
      });
      call.observer.onEnd(FRAMED_END);
    });
  }

  get #limitHeaders(): string[] {
    return this.limitPerSecond === undefined ? [] : ["limit", String(this.limitPerSecond)];
  }

  #fail(call: RunningCall, reason: string): void {
    this.#stop(call);
    this.#later(() => {
      call.observer.onError(SendState.Sent, new Error(reason));
    });
  }

  #stop(call: RunningCall): void {
    this.#forget(call);
    [this, ...call.helpers].forEach(({ model }) => {
      model.cancel(call.id);
    });
  }

  #forget(call: RunningCall): void {
    call.isEnded = true;
    this.#calls.delete(call);
  }

  #later(fn: () => void): Cancel {
    return this.#clock.setTimer(fn, this.#delayMs);
  }
}
