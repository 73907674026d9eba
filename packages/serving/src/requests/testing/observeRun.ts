import {
  ALL_PROTECTIONS,
  ClaimState,
  FateState,
  fleetSchema,
  PeerError,
  RetryBudget,
  SeededRandom,
  Verdict,
  type Clock,
  type PulleyError,
} from "@lycheepulley/core";
import { newSilentLogger } from "@lycheepulley/telemetry";
import type { LogWriter } from "@lycheepulley/log";

import type { ClaimRouter } from "../../claims/ClaimRouter.js";
import type { ClaimEnd } from "../../claims/ClaimShard.js";
import type { ConfigTracker } from "../../config/ConfigTracker.js";
import { FateRecorder, type RequestTrace } from "../../fates/FateRecorder.js";
import type { UpstreamDirectory } from "../../upstreams/UpstreamDirectory.js";
import { AtMostOnce } from "../AtMostOnce.js";
import type { ServiceRunner } from "../ServiceRunner.js";

const KEY_SHA256 = "0".repeat(64);
const ENGINE_KV_TOKENS = 1_000;
const CONFIG = fleetSchema.parse({
  ...{ fleet: "f", sites: ["s"] },
  models: {
    m: {
      ...{ pool: "engines", version: "1", contextTokens: 100_000 },
      ...{ engineKvTokens: ENGINE_KV_TOKENS, prefillTokensPerS: 1_000 },
    },
  },
  services: { letters: { pool: "letters", timeoutMs: 1_000, notRunStatuses: [423] } },
  classes: {
    dialogue: { patienceMs: 60_000, maxPromptTokens: 50_000, models: ["m"] },
    order: { patienceMs: 60_000, maxPromptTokens: 50_000, models: ["m"], nonIdempotent: true },
  },
  customers: { c: { keySha256: KEY_SHA256 } },
  limits: { maxAttempts: 2 },
});
/** Timers up to this long are backoffs, which the tests don't wait for. */
const MAX_BACKOFF_MS = 1_000;

/** Ends backoffs at once and lets no deadline pass. */
const CLOCK: Clock = {
  now: () => 0,
  wall: () => 0,
  setTimer: (fn, ms) => {
    if (ms > MAX_BACKOFF_MS) {
      return () => undefined;
    }
    const timer = setImmediate(fn);
    return () => {
      clearImmediate(timer);
    };
  },
};

/** Errors of a peer before and after the request was sent. */
export const unsent = (): PeerError => new PeerError("u", "connection refused", { sent: false });
export const sent = (): PeerError => new PeerError("u", "connection reset", { sent: true });
/** A status that the peer answered with. */
export const status = (code: number): PeerError =>
  new PeerError("u", `status ${String(code)}`, { sent: true, status: code });

/** What was said of a request: its verdict or "answered", its fate and its claim's end. */
export interface Said {
  readonly verdict: Verdict | "answered";
  readonly fate: FateState;
  readonly claim: ClaimEnd["state"] | undefined;
}

/** All that is said of a request that ended in each way. */
export const NOT_RUN = {
  verdict: Verdict.NotRun,
  fate: FateState.NotRun,
  claim: ClaimState.NotRun,
} as const;
export const MAY_HAVE_RUN = {
  verdict: Verdict.MayHaveRun,
  fate: FateState.FailedMayHaveRun,
  claim: ClaimState.Unknown,
} as const;
export const ANSWERED = {
  verdict: "answered",
  fate: FateState.Finished,
  claim: ClaimState.Ran,
} as const;

/** A trace whose records go nowhere. */
export const newTrace = (): RequestTrace => {
  const writer = {
    submit: () => ({ appended: Promise.resolve() }),
  } as unknown as LogWriter;
  return new FateRecorder({ process: "p", incarnation: 1, clock: CLOCK, writer }).begin("c");
};

const newOnce = (ends: ClaimEnd[]): AtMostOnce =>
  new AtMostOnce({
    router: {
      claim: () => Promise.resolve({ result: "granted" }),
      end: (end: ClaimEnd) => {
        ends.push(end);
        return Promise.resolve(true);
      },
    } as unknown as ClaimRouter,
    ...{ holder: "p/1", wallNow: () => 0, protections: ALL_PROTECTIONS },
  });

/** Options that both runners share; the ends of claims go to `ends`. */
export const getCommon = (ends: ClaimEnd[]): ConstructorParameters<typeof ServiceRunner>[0] => ({
  config: { current: { config: CONFIG } } as unknown as ConfigTracker,
  directory: {} as UpstreamDirectory,
  once: newOnce(ends),
  retries: new RetryBudget(),
  clock: CLOCK,
  random: new SeededRandom(1),
  protections: ALL_PROTECTIONS,
  logger: newSilentLogger(),
});

/** Runs a request and tells what was said of it. */
export const observe = async (
  trace: RequestTrace,
  ends: readonly ClaimEnd[],
  run: () => Promise<unknown>,
): Promise<Said> => {
  const verdict = await run().then(
    () => "answered" as const,
    (err: unknown) => (err as PulleyError).verdict,
  );
  return { verdict, fate: trace.fate.state, claim: ends.at(-1)?.state };
};

/** A step that fails with a new error each time. */
export const failWith =
  (newError: () => Error): (() => never) =>
  () => {
    throw newError();
  };
