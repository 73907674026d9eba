import { nextInt, pickOne, SeededRandom, type Vm } from "@lycheepulley/core";

import { getOrigin, type LocalFleet } from "../fleet/LocalFleet.js";
import { SoakKind, type SoakCaller, type SoakRecord } from "./SoakCaller.js";

const MS_PER_S = 1_000;
/** Share of non-idempotent requests. */
const ONCE_SHARE = 0.1;
/** Share of non-idempotent requests that are sent twice. */
const RESEND_SHARE = 0.4;
const MAX_RESEND_DELAY_MS = 1_500;
const POISON_PROMPTS = 3;
/** Requests with each poisonous prompt. */
const SENDS_PER_POISON_PROMPT = 12;
const ENTRY_KILL_INTERVAL_MS = 11_000;
const ENGINE_KILL_INTERVAL_MS = 4_000;
const ENGINE_DOWN_MS = 2_000;
const LOG_OUTAGE_INTERVAL_MS = 30_000;
const LOG_OUTAGE_MS = 4_000;
const LOST_ANSWERS_INTERVAL_MS = 9_000;

/** Text in a prompt that crashes the engine stand-ins. */
export const CRASH_TEXT = "<<crash>>";

export interface SoakOptions {
  readonly fleet: LocalFleet;
  readonly callers: readonly SoakCaller[];
  readonly requests: number;
  readonly requestsPerS: number;
  readonly seed: number;
  readonly onProgress: (line: string) => void;
}

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** Injects faults by a seeded schedule until stopped. */
class FaultSchedule {
  readonly #options: SoakOptions;
  readonly #random: SeededRandom;
  readonly #timers: NodeJS.Timeout[] = [];
  readonly counts = { entryKills: 0, engineKills: 0, logOutages: 0, lostAnswers: 0 };
  #replacement: Promise<unknown> = Promise.resolve();

  constructor(options: SoakOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed + 1);
    this.#scheduleEvery(ENTRY_KILL_INTERVAL_MS, () => this.#killEntry());
    this.#scheduleEvery(ENGINE_KILL_INTERVAL_MS, () => this.#killEngine());
    this.#scheduleEvery(LOG_OUTAGE_INTERVAL_MS, () => this.#stopLog());
    this.#scheduleEvery(LOST_ANSWERS_INTERVAL_MS, () => this.#loseAnswers());
  }

  async stop(): Promise<void> {
    this.#timers.forEach((timer) => {
      clearInterval(timer);
    });
    await this.#replacement;
    await this.#options.fleet.injectLogFault({ isDown: false });
  }

  #scheduleEvery(intervalMs: number, inject: () => Promise<void>): void {
    this.#timers.push(setInterval(() => void inject().catch(() => undefined), intervalMs));
  }

  async #killEntry(): Promise<void> {
    const { fleet, callers, onProgress } = this.#options;
    const entry = pickOne(this.#random, fleet.entries);
    if (!entry) {
      return;
    }
    this.counts.entryKills += 1;
    onProgress(`killing entry process ${entry.vm.id}`);
    const replace = async (): Promise<void> => {
      await fleet.killEntry(entry.vm.id);
      await fleet.startEntry(entry.vm.failureDomain);
      const origins = fleet.entries.map(({ vm }) => getOrigin(vm));
      callers.forEach((caller) => {
        caller.setBootstrapOrigins(origins);
      });
    };
    this.#replacement = replace();
    await this.#replacement;
  }

  async #killEngine(): Promise<void> {
    const { fleet } = this.#options;
    const vm: Vm | undefined = pickOne(this.#random, fleet.engineVms);
    if (vm) {
      this.counts.engineKills += 1;
      await fleet.injectUpstreamFault(vm, { dieMs: ENGINE_DOWN_MS });
    }
  }

  async #stopLog(): Promise<void> {
    const { fleet, onProgress } = this.#options;
    this.counts.logOutages += 1;
    onProgress("log outage");
    await fleet.injectLogFault({ isDown: true });
    await sleep(LOG_OUTAGE_MS);
    await fleet.injectLogFault({ isDown: false });
  }

  async #loseAnswers(): Promise<void> {
    const { fleet } = this.#options;
    this.counts.lostAnswers += 1;
    await fleet.injectLogFault({ loseAnswers: 2 });
    const upstream = pickOne(this.#random, [...fleet.engineVms, ...fleet.serviceVms]);
    if (upstream) {
      await fleet.injectUpstreamFault(upstream, { loseAnswers: 2 });
    }
  }
}

/** Sends requests at a fixed rate while faults are injected. */
export const runSoak = async (
  options: SoakOptions,
): Promise<{ records: SoakRecord[]; counts: FaultSchedule["counts"] }> => {
  const { callers, requests, requestsPerS, seed, onProgress } = options;
  const random = new SeededRandom(seed);
  const records: SoakRecord[] = [];
  const pending: Promise<void>[] = [];
  const faults = new FaultSchedule(options);
  const send = async (call: Parameters<SoakCaller["send"]>[0]): Promise<void> => {
    const caller = pickOne(random, callers);
    if (caller) {
      records.push(await caller.send(call));
    }
  };
  const startMs = performance.now();
  for (let i = 0; i < requests; i += 1) {
    const dueMs = startMs + (i / requestsPerS) * MS_PER_S;
    await sleep(Math.max(0, dueMs - performance.now()));
    const call = newCall(random, i, requests);
    pending.push(send(call));
    if (call.key !== undefined && random.next() < RESEND_SHARE) {
      const delayMs = nextInt(random, MAX_RESEND_DELAY_MS);
      pending.push(sleep(delayMs).then(() => send(call)));
    }
    if (i > 0 && i % 500 === 0) {
      onProgress(
        `${String(i)} of ${String(requests)} requests sent, ${String(records.length)} ended`,
      );
    }
  }
  await Promise.all(pending);
  await faults.stop();
  return { records, counts: faults.counts };
};

const newCall = (
  random: SeededRandom,
  i: number,
  requests: number,
): Parameters<SoakCaller["send"]>[0] => {
  const poisonInterval = Math.floor(requests / (POISON_PROMPTS * SENDS_PER_POISON_PROMPT));
  const words = 20 + nextInt(random, 400);
  const maxTokens = 4 + nextInt(random, 16);
  if (i > 0 && i % poisonInterval === 0) {
    const text = `${CRASH_TEXT} ${String(nextInt(random, POISON_PROMPTS))}`;
    return { kind: SoakKind.Prompt, prompt: text, maxTokens, key: undefined, isPoison: true };
  }
  const prompt = `${String(i)} ${"línea ".repeat(words)}`;
  const isOnce = random.next() < ONCE_SHARE;
  if (!isOnce) {
    return { kind: SoakKind.Prompt, prompt, maxTokens, key: undefined, isPoison: false };
  }
  const kind = random.next() < 0.5 ? SoakKind.Save : SoakKind.OncePrompt;
  return { kind, prompt, maxTokens, key: `key-${String(i)}`, isPoison: false };
};
