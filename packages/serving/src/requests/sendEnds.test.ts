import {
  ALL_PROTECTIONS,
  ClaimState,
  FateState,
  fleetSchema,
  PeerError,
  PromptPath,
  RetryBudget,
  SeededRandom,
  Verdict,
  type AnswerChunk,
  type Clock,
  type PromptRequest,
  type PulleyError,
  type ServiceRequest,
} from "@lycheepulley/core";
import type { EngineClient, GenerateCall, OnChunk } from "@lycheepulley/engines";
import type { LogWriter } from "@lycheepulley/log";
import type { ServiceAnswer, ServiceClient } from "@lycheepulley/services";
import { expect } from "chai";

import type { ClaimRouter } from "../claims/ClaimRouter.js";
import type { ClaimEnd } from "../claims/ClaimShard.js";
import type { ConfigTracker } from "../config/ConfigTracker.js";
import { FateRecorder, type RequestTrace } from "../fates/FateRecorder.js";
import { Grant, type PoolRouter } from "../scheduler/PoolRouter.js";
import type { UpstreamDirectory } from "../upstreams/UpstreamDirectory.js";
import { AtMostOnce } from "./AtMostOnce.js";
import { PromptRunner } from "./PromptRunner.js";
import { ServiceRunner } from "./ServiceRunner.js";

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

const unsent = (): PeerError => new PeerError("u", "connection refused", { sent: false });
const sent = (): PeerError => new PeerError("u", "connection reset", { sent: true });
const status = (code: number): PeerError =>
  new PeerError("u", `status ${String(code)}`, { sent: true, status: code });

/** What was said of a request: its verdict or "answered", its fate and its claim's end. */
interface Said {
  readonly verdict: Verdict | "answered";
  readonly fate: FateState;
  readonly claim: ClaimEnd["state"] | undefined;
}

const NOT_RUN = {
  verdict: Verdict.NotRun,
  fate: FateState.NotRun,
  claim: ClaimState.NotRun,
} as const;
const MAY_HAVE_RUN = {
  verdict: Verdict.MayHaveRun,
  fate: FateState.FailedMayHaveRun,
  claim: ClaimState.Unknown,
} as const;
const ANSWERED = { verdict: "answered", fate: FateState.Finished, claim: ClaimState.Ran } as const;

const newTrace = (): RequestTrace => {
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

const getCommon = (ends: ClaimEnd[]): ConstructorParameters<typeof ServiceRunner>[0] => ({
  config: { current: { config: CONFIG } } as unknown as ConfigTracker,
  directory: {} as UpstreamDirectory,
  once: newOnce(ends),
  retries: new RetryBudget(),
  clock: CLOCK,
  random: new SeededRandom(1),
  protections: ALL_PROTECTIONS,
});

/** Runs a request and tells what was said of it. */
const observe = async (
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

type ServiceStep = () => ServiceAnswer;

const answerWith =
  (code: number): ServiceStep =>
  () => ({ status: code, contentType: "text/plain", body: "" });
const failWith =
  (newError: () => Error): (() => never) =>
  () => {
    throw newError();
  };

const newServiceRequest = (): ServiceRequest => ({
  ...{ service: "letters", method: "POST", path: "/send", contentType: "text/plain" },
  ...{ body: undefined, customer: "c", idempotencyKey: "k" },
  signal: new AbortController().signal,
});

const observeService = async (
  steps: readonly ServiceStep[],
  change: Partial<ServiceRequest> = {},
): Promise<Said> => {
  const left = [...steps];
  const client: Partial<ServiceClient> = {
    name: "letters-1",
    call: (call) => {
      call.onSend?.();
      return Promise.resolve().then(() => left.shift()?.() ?? answerWith(200)());
    },
  };
  const ends: ClaimEnd[] = [];
  const directory = { getServices: () => [{ client }] } as unknown as UpstreamDirectory;
  const runner = new ServiceRunner({ ...getCommon(ends), directory });
  const trace = newTrace();
  return observe(trace, ends, () => runner.run(trace, { ...newServiceRequest(), ...change }));
};

// Guards against "not run" of what may have run, and against "may have run" of what the service
// itself states not to have run.
describe("a call of a plain service", () => {
  const CASES = [
    { name: "an answer", steps: [answerWith(200)], said: ANSWERED },
    { name: "an error answer", steps: [answerWith(500)], said: ANSWERED },
    { name: "a status that states no run", steps: [answerWith(423)], said: NOT_RUN },
    { name: "no connection", steps: [failWith(unsent)], said: NOT_RUN },
    { name: "a broken connection", steps: [failWith(sent)], said: MAY_HAVE_RUN },
    {
      name: "an error that is no peer's",
      steps: [failWith(() => new TypeError("bug"))],
      said: MAY_HAVE_RUN,
    },
  ];
  for (const { name, steps, said } of CASES) {
    it(`is said to be ${said.verdict} after ${name}`, async () => {
      expect(await observeService(steps)).to.deep.equal(said);
    });
  }

  it("may have run when a repeated call found no connection after a broken one", async () => {
    const said = await observeService([failWith(sent), failWith(unsent)], {
      method: "PUT",
      idempotencyKey: undefined,
    });
    expect(said).to.deep.equal({ ...MAY_HAVE_RUN, claim: undefined });
  });
});

describe("the answer to a call that runs at most once", () => {
  // Guards against the first caller's answer being cut to the length that is kept for replays.
  it("reaches its first caller whole, however little of it is kept", async () => {
    const body = "x".repeat(100_000);
    const ends: ClaimEnd[] = [];
    const client = {
      name: "letters-1",
      call: () => Promise.resolve({ status: 200, contentType: "text/plain", body }),
    };
    const directory = { getServices: () => [{ client }] } as unknown as UpstreamDirectory;
    const outcome = await new ServiceRunner({ ...getCommon(ends), directory }).run(
      newTrace(),
      newServiceRequest(),
    );
    expect(outcome.body.length).to.equal(body.length);
    expect(ends[0]?.outcome?.body.length).to.equal(32_000);
  });
});

type EngineStep = (onChunk: OnChunk, attemptId: string) => void;

interface PromptCase {
  readonly name: string;
  /** What the engine does with each request, and with each resume. */
  readonly steps: readonly EngineStep[];
  readonly said: Said;
  /** Makes the prompt too large for one engine. */
  readonly isSplit?: boolean;
  /** What the engines do with each part of a split prompt. */
  readonly exports?: readonly (() => string)[];
  readonly hasMemory?: boolean;
}

const chunk = (seq: number, attemptId: string, finishReason?: string): AnswerChunk => ({
  ...{ attemptId, seq, text: "a", finishReason },
});
const answer: EngineStep = (onChunk, attemptId) => {
  onChunk(chunk(0, attemptId, "stop"));
};
const breakAfterToken: EngineStep = (onChunk, attemptId) => {
  onChunk(chunk(0, attemptId));
  throw sent();
};

const newEngine = ({ steps, exports = [], hasMemory = true }: PromptCase): EngineClient => {
  const left = [...steps];
  const leftExports = [...exports];
  const next = (onChunk: OnChunk, attemptId: string): Promise<void> =>
    Promise.resolve().then(() => left.shift()?.(onChunk, attemptId));
  const client: Partial<EngineClient> = {
    name: "e-1",
    generate: (call: GenerateCall, onChunk) => {
      call.onSend?.();
      return next(onChunk, call.attemptId);
    },
    resume: (call, onChunk) => next(onChunk, call.attemptId),
    cancel: () => Promise.resolve(),
    reserveKv: () => Promise.resolve(hasMemory),
    releaseKv: () => Promise.resolve(),
    exportSegment: () => Promise.resolve().then(() => leftExports.shift()?.() ?? "handle"),
  };
  return client as EngineClient;
};

const observePrompt = async (testCase: PromptCase, className: string): Promise<Said> => {
  const client = newEngine(testCase);
  const ends: ClaimEnd[] = [];
  const members = testCase.isSplit ? ["e-1", "e-1", "e-1"] : ["e-1"];
  const pools = {
    acquire: ({ id }: { id: string }) =>
      Promise.resolve(
        new Grant({ result: "granted", id, engine: "e-1", members, isAlone: false }, [], {
          release: () => Promise.resolve(),
          isStale: () => false,
        }),
      ),
  } as unknown as PoolRouter;
  const directory = { getEngine: () => ({ client }) } as unknown as UpstreamDirectory;
  const runner = new PromptRunner({ ...getCommon(ends), directory, pools, holder: "p/1" });
  const trace = newTrace();
  const req: PromptRequest = {
    ...{ path: PromptPath.Chat, body: "{}", model: "m", maxTokens: 10, className },
    ...{ customer: "c", idempotencyKey: "k", fingerprint: "f", prefixBlocks: [] },
    promptBytes: testCase.isSplit ? 8_000 : 100,
    signal: new AbortController().signal,
  };
  return observe(trace, ends, () => runner.run(trace, req, { onChunk: () => undefined }));
};

// Guards against "not run" of a prompt that an engine had begun: a rejected resume was taken for a
// rejected prompt, and the parts of a split prompt didn't count as sent.
describe("a prompt that runs at most once", () => {
  const CASES: readonly PromptCase[] = [
    { name: "an answer", steps: [answer], said: ANSWERED },
    { name: "no connection", steps: [failWith(unsent)], said: NOT_RUN },
    { name: "a rejection for load", steps: [failWith(() => status(429))], said: NOT_RUN },
    { name: "a rejection while leaving", steps: [failWith(() => status(503))], said: NOT_RUN },
    { name: "an error status", steps: [failWith(() => status(500))], said: MAY_HAVE_RUN },
    { name: "a gateway's error status", steps: [failWith(() => status(502))], said: MAY_HAVE_RUN },
    {
      name: "an error that is no peer's",
      steps: [failWith(() => new TypeError("bug"))],
      said: MAY_HAVE_RUN,
    },
    { name: "a stream without an end", steps: [() => undefined], said: MAY_HAVE_RUN },
    {
      name: "broken connections",
      steps: [failWith(sent), failWith(sent), failWith(sent)],
      said: MAY_HAVE_RUN,
    },
    {
      name: "a resume without connection",
      steps: [breakAfterToken, failWith(unsent)],
      said: MAY_HAVE_RUN,
    },
    {
      name: "a rejected resume",
      steps: [breakAfterToken, failWith(() => status(503))],
      said: MAY_HAVE_RUN,
    },
    {
      name: "a rejected resume before the first token",
      steps: [failWith(sent), failWith(() => status(429))],
      said: MAY_HAVE_RUN,
    },
    {
      name: "a resume at an engine without the stream",
      steps: [failWith(sent), failWith(() => status(404))],
      said: MAY_HAVE_RUN,
    },
    { name: "no memory for a part", steps: [], isSplit: true, hasMemory: false, said: NOT_RUN },
    {
      name: "no connection for the first part",
      ...{ steps: [], isSplit: true, exports: [failWith(unsent)], said: NOT_RUN },
    },
    {
      name: "a rejected first part",
      ...{ steps: [], isSplit: true, exports: [failWith(() => status(503))], said: NOT_RUN },
    },
    {
      name: "a part whose connection broke",
      ...{ steps: [], isSplit: true, exports: [failWith(sent)], said: MAY_HAVE_RUN },
    },
    {
      name: "a rejected second part",
      ...{ steps: [], isSplit: true, said: MAY_HAVE_RUN },
      exports: [() => "handle", failWith(() => status(503))],
    },
    {
      name: "no connection for the answer of a split prompt",
      ...{ steps: [failWith(unsent)], isSplit: true, said: MAY_HAVE_RUN },
    },
    { name: "the answer of a split prompt", steps: [answer], isSplit: true, said: ANSWERED },
  ];
  for (const testCase of CASES) {
    it(`is said to be ${testCase.said.verdict} after ${testCase.name}`, async () => {
      expect(await observePrompt(testCase, "order")).to.deep.equal(testCase.said);
    });
  }

  it("may have run when another attempt found no connection after a broken one", async () => {
    const steps = [failWith(() => status(500)), failWith(unsent)];
    const said = await observePrompt({ name: "", steps, said: MAY_HAVE_RUN }, "dialogue");
    expect(said).to.deep.equal({ ...MAY_HAVE_RUN, claim: undefined });
  });
});
