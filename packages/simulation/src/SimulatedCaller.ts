import { nextExponential, type Cancel, type Clock, type Random } from "@lycheepulley/core";
import type { AnswerWriter, ForwardRequest } from "@lycheepulley/forwarding";

import { getHighestFactor, getSourceFactor, newSources, type RequestSource } from "./customers.js";
import { newRoute } from "./fleetConfig.js";
import type { Incident, Pattern, PromptClass } from "./pattern.js";
import type { SimulatedFleet } from "./SimulatedFleet.js";
import { CRASHING_PART } from "./SimulatedUpstream.js";
import { ANSWER_HEADER } from "./simulatedDialect.js";

type StatedLength = Pick<ForwardRequest["head"], "outputTokens" | "outputHint">;
type CrashingPart = Extract<Incident, { kind: "crashingPart" }>;

/** Callers try an entry process that is down again after this time, milliseconds. */
const RECONNECT_MS = 250;
/** Share of callers who estimate the length of their answer. */
const HINT_SHARE = 0.5;
/** Attempts of a caller for one request. */
const MAX_ATTEMPTS = 2;
/** A caller waits for a first or further event at least this long before it leaves, milliseconds. */
const MIN_PATIENCE_MS = 2_000;
/** The same in objectives for the first event, and in longest gaps in time; the longest of the three counts. */
const TARGETS_OF_PATIENCE = 4;
const GAPS_OF_PATIENCE = 8;
/** Callers wait at most this share of the time that they have left when a refusal asks them to. */
const MAX_RETRY_AFTER_SHARE = 1 / 3;
/** Weight of the fixed part of a prompt's worth; the rest grows with its size. */
const FIXED_WORTH = 0.3;
/** Most that a prompt is worth, as a multiple of its class's worth. */
const MAX_WORTH_FACTOR = 4;

/** How one request of a caller went. */
export interface RequestRecord {
  readonly className: string;
  readonly askedMs: number;
  readonly promptTokens: number;
  readonly worth: number;
  readonly lateWorth: number;
  /** Parts of the prompt that other prompts share. */
  readonly parts: readonly string[];
  readonly customer: string | undefined;
  attempts: number;
  firstMs: number | undefined;
  longestGapMs: number;
  result: "open" | "inTime" | "late" | "refused" | "failed";
}

const getFirstPart = ({ name }: PromptClass, index: number): string => `${name}-${String(index)}`;

const nextLogNormal = (
  random: Random,
  { mean, spread, max }: { mean: number; spread: number; max: number },
): number => {
  const normal =
    Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
  return Math.round(
    Math.min(max, Math.max(1, mean * Math.exp(spread * normal - (spread * spread) / 2))),
  );
};

/** Time without an event after which a caller leaves, milliseconds. */
const getPatienceMs = ({ targetMs, maxGapMs }: PromptClass): number =>
  Math.max(MIN_PATIENCE_MS, TARGETS_OF_PATIENCE * targetMs, GAPS_OF_PATIENCE * maxGapMs);

/** Sends the prompts of a pattern to a fleet and records what callers get. */
export class SimulatedCaller {
  readonly records: RequestRecord[] = [];
  readonly #pattern: Pattern;
  readonly #fleet: SimulatedFleet;
  readonly #clock: Clock;
  readonly #random: Random;
  /** Callers know the lengths of their answers. */
  readonly #statesTruth: boolean;
  #nextAttempt = 1;

  constructor(
    pattern: Pattern,
    fleet: SimulatedFleet,
    clock: Clock,
    { random, statesTruth }: { random: Random; statesTruth: boolean },
  ) {
    this.#statesTruth = statesTruth;
    this.#pattern = pattern;
    this.#fleet = fleet;
    this.#clock = clock;
    this.#random = random;
    const sources = newSources(pattern.customers, random);
    pattern.classes.forEach((prompt) => {
      sources.forEach((source) => {
        this.#scheduleNext(prompt, source);
      });
    });
    pattern.incidents.forEach((incident) => {
      if (incident.kind === "crashingPart") {
        this.#sendCrashing(incident);
      }
    });
  }

  /** Sends prompts of the first class, with a part that crashes upstreams, for some time. */
  #sendCrashing({ atMs, forMs, perSecond }: CrashingPart): void {
    const [prompt] = this.#pattern.classes;
    const intervalMs = 1_000 / perSecond;
    for (let sinceMs = 0; prompt && sinceMs < forMs; sinceMs += intervalMs) {
      this.#clock.setTimer(() => {
        this.#ask(prompt, [getFirstPart(prompt, 0), CRASHING_PART]);
      }, atMs + sinceMs);
    }
  }

  /** Shared parts of a sound prompt. */
  #pickParts(prompt: PromptClass): string[] {
    const { firstParts } = this.#pattern;
    return firstParts === undefined
      ? []
      : [getFirstPart(prompt, Math.floor(this.#random.next() * firstParts))];
  }

  /** Draws arrivals at the class's highest rate, and drops those above the rate of the moment. */
  #scheduleNext(prompt: PromptClass, source: RequestSource): void {
    const factors = this.#pattern.surges.map((surge) => surge.factors[prompt.name] ?? 1);
    const highest = prompt.perSecond * Math.max(1, ...factors) * getHighestFactor(source);
    this.#clock.setTimer(
      () => {
        if (this.#clock.now() > this.#pattern.lengthMs) {
          return;
        }
        if (source.random.next() * highest < this.#getRate(prompt, source)) {
          this.#ask(prompt, this.#pickParts(prompt), source);
        }
        this.#scheduleNext(prompt, source);
      },
      nextExponential(source.random, 1_000 / highest),
    );
  }

  #getRate(prompt: PromptClass, source: RequestSource): number {
    const now = this.#clock.now();
    const surge = this.#pattern.surges.find(({ atMs, forMs }) => atMs <= now && now < atMs + forMs);
    return prompt.perSecond * (surge?.factors[prompt.name] ?? 1) * getSourceFactor(source, now);
  }

  #ask(prompt: PromptClass, parts: readonly string[], source?: RequestSource): void {
    const random = source?.random ?? this.#random;
    const promptTokens = nextLogNormal(random, prompt.promptTokens);
    const outputTokens = nextLogNormal(random, prompt.outputTokens);
    const size = FIXED_WORTH + (1 - FIXED_WORTH) * (promptTokens / prompt.promptTokens.mean);
    const factor = Math.min(MAX_WORTH_FACTOR, size);
    const record: RequestRecord = {
      customer: source?.customer?.name,
      ...{ className: prompt.name, askedMs: this.#clock.now(), promptTokens },
      ...{ worth: prompt.worth * factor, lateWorth: prompt.lateWorth * factor },
      ...{ firstMs: undefined, longestGapMs: 0, result: "open", parts, attempts: 0 },
    };
    this.records.push(record);
    void this.#try(prompt, record, { promptTokens, outputTokens, lastEventId: 0, attempt: 1 });
  }

  async #try(
    prompt: PromptClass,
    record: RequestRecord,
    state: { promptTokens: number; outputTokens: number; lastEventId: number; attempt: number },
  ): Promise<void> {
    const leftMs = record.askedMs + prompt.deadlineMs - this.#clock.now();
    if (leftMs <= 0) {
      record.result = "failed";
      return;
    }
    const gateway = this.#fleet.pickGateway();
    if (!gateway) {
      this.#clock.setTimer(() => void this.#try(prompt, record, state), RECONNECT_MS);
      return;
    }
    const abort = new AbortController();
    const { signal } = abort;
    const cancelDeadline = this.#clock.setTimer(() => {
      abort.abort();
    }, leftMs);
    const answer = new CallerAnswer({
      ...{ clock: this.#clock, record, lastEventId: state.lastEventId },
      patienceMs: getPatienceMs(prompt),
      leave: () => {
        abort.abort();
      },
    });
    const cancelWatch = this.#watchProcess(() => this.#fleet.isUp(gateway), abort);
    record.attempts = state.attempt;
    const asked = this.#newRequest(prompt, { ...state, parts: record.parts }, leftMs);
    const req = { ...asked, ...this.#identify(record), signal };
    await gateway.forward(req, answer);
    cancelDeadline();
    cancelWatch();
    answer.close();
    if (answer.isWhole) {
      const isInTime =
        (record.firstMs ?? Infinity) <= prompt.targetMs && record.longestGapMs <= prompt.maxGapMs;
      record.result = isInTime ? "inTime" : "late";
      return;
    }
    const restMs = record.askedMs + prompt.deadlineMs - this.#clock.now();
    if (state.attempt < MAX_ATTEMPTS && restMs > 0) {
      const next = { ...state, attempt: state.attempt + 1, lastEventId: answer.lastEventId };
      const waitMs = Math.min(answer.retryAfterMs, restMs * MAX_RETRY_AFTER_SHARE);
      this.#clock.setTimer(() => void this.#try(prompt, record, next), waitMs);
    } else {
      record.result = answer.isRefused ? "refused" : "failed";
    }
  }

  /** Attempts of one caller look alike. */
  #identify(record: RequestRecord): Partial<Pick<ForwardRequest, "customer" | "fingerprint">> {
    const { customer } = record;
    return customer ? { customer, fingerprint: `f${String(this.records.indexOf(record))}` } : {};
  }

  /** Aborts the request once its entry process has ended. */
  #watchProcess(isUp: () => boolean, abort: AbortController): () => void {
    let cancel = (): void => undefined;
    const check = (): void => {
      if (isUp()) {
        cancel = this.#clock.setTimer(check, RECONNECT_MS);
      } else {
        abort.abort();
      }
    };
    check();
    return () => {
      cancel();
    };
  }

  /** What a caller states of the length of an answer: all of it where the class says no more. */
  #stateLength({ stated }: PromptClass, outputTokens: number): StatedLength {
    if (!stated || this.#statesTruth) {
      return { outputTokens, outputHint: undefined };
    }
    const { limitTokens: max, hintSpread: spread } = stated;
    const hasHint = this.#random.next() < HINT_SHARE;
    // The estimates are right at the median.
    const mean = outputTokens * Math.exp((spread * spread) / 2);
    const outputHint = hasHint ? nextLogNormal(this.#random, { mean, spread, max }) : undefined;
    return { outputTokens: max, outputHint };
  }

  #newRequest(
    prompt: PromptClass,
    state: {
      promptTokens: number;
      outputTokens: number;
      lastEventId: number;
      parts: readonly string[];
    },
    deadlineMs: number,
  ): Omit<ForwardRequest, "signal"> {
    const { promptTokens, outputTokens, lastEventId, parts } = state;
    const attemptId = `a${String(this.#nextAttempt++)}`;
    const path = `/${prompt.name}/`;
    return {
      head: {
        ...{ attemptId, method: "POST", path, host: "fleet.example", deadlineMs },
        headers: [ANSWER_HEADER, String(outputTokens)],
        ...{ apiKey: undefined, promptTokens, ...this.#stateLength(prompt, outputTokens) },
        lastEventId: lastEventId > 0 ? String(lastEventId) : undefined,
        sharedParts: parts,
      },
      route: newRoute(prompt),
      ...{ body: Buffer.alloc(0), customer: undefined, priority: 1, revision: 1 },
      ...{ receivedMs: this.#clock.now(), fingerprint: attemptId },
    };
  }
}

/** Times the events that a caller receives, and has it leave when none comes for too long. */
class CallerAnswer implements AnswerWriter {
  readonly #clock: Clock;
  readonly #record: RequestRecord;
  readonly #patienceMs: number;
  readonly #leave: () => void;
  #cancelWait: Cancel = () => undefined;
  #lastMs: number | undefined;
  #status: number | undefined;
  lastEventId: number;
  isWhole = false;
  isRefused = false;
  retryAfterMs = 0;

  constructor(options: {
    clock: Clock;
    record: RequestRecord;
    lastEventId: number;
    patienceMs: number;
    leave: () => void;
  }) {
    this.#clock = options.clock;
    this.#record = options.record;
    this.#patienceMs = options.patienceMs;
    this.#leave = options.leave;
    this.lastEventId = options.lastEventId;
    this.#wait();
  }

  /** Ends the wait for events. */
  close(): void {
    this.#cancelWait();
  }

  #wait(): void {
    this.#cancelWait();
    this.#cancelWait = this.#clock.setTimer(this.#leave, this.#patienceMs);
  }

  get isHeadSent(): boolean {
    return this.#status !== undefined;
  }

  sendHead(status: number): void {
    this.#status = status;
  }

  write(chunk: Buffer): boolean {
    this.#wait();
    const now = this.#clock.now();
    this.#record.firstMs ??= now - this.#record.askedMs;
    const lastMs = this.#lastMs ?? now;
    this.#record.longestGapMs = Math.max(this.#record.longestGapMs, now - lastMs);
    this.#lastMs = now;
    const ids = [...chunk.toString().matchAll(/id: (\d+)/g)];
    this.lastEventId = Number(ids.at(-1)?.[1] ?? this.lastEventId);
    return true;
  }

  onDrain(): void {
    throw new Error("a simulated caller reads at once");
  }

  end(): void {
    this.isWhole = this.#status === 200;
  }

  abort(): void {
    this.#status ??= 0;
  }

  sendOwn(status: number, _message: string, retryAfterMs?: number): void {
    this.#status = status;
    this.isRefused = status === 503;
    this.retryAfterMs = retryAfterMs ?? 0;
  }
}
