import { PromptPath, type AnswerChunk, type PromptRequest } from "@lycheepulley/core";
import type { EngineClient, GenerateCall, OnChunk } from "@lycheepulley/engines";
import { expect } from "chai";

import type { ClaimEnd } from "../claims/ClaimShard.js";
import { Grant, type PoolRouter } from "../scheduler/PoolRouter.js";
import type { UpstreamDirectory } from "../upstreams/UpstreamDirectory.js";
import { PromptRunner } from "./PromptRunner.js";
import {
  ANSWERED,
  failWith,
  getCommon,
  MAY_HAVE_RUN,
  newTrace,
  NOT_RUN,
  observe,
  sent,
  status,
  unsent,
  type Said,
} from "./testing/observeRun.js";

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
  const directory = {
    getEngine: () => ({ client, vm: { failureDomain: "a" } }),
    isEvacuated: () => false,
  } as unknown as UpstreamDirectory;
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
