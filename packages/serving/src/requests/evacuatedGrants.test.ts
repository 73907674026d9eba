import { PromptPath, RetryBudget, type PromptRequest } from "@lycheepulley/core";
import type { EngineClient, GenerateCall, OnChunk } from "@lycheepulley/engines";
import { expect } from "chai";

import type { ClaimEnd } from "../claims/ClaimShard.js";
import { Grant, type PoolRouter } from "../scheduler/PoolRouter.js";
import { GrantEnd } from "../scheduler/types.js";
import type { UpstreamDirectory } from "../upstreams/UpstreamDirectory.js";
import { PromptRunner } from "./PromptRunner.js";
import { ANSWERED, getCommon, newTrace, observe, type Said } from "./testing/observeRun.js";

/** What happens while the prompt holds its first grant, on engines of the failure domain `a`. */
type Incident = "none" | "paused" | "evacuated when granted" | "evacuated when reserved";

interface Run {
  readonly said: Said;
  /** Engines that got the prompt, or a part of it. */
  readonly sent: readonly string[];
  readonly ends: readonly GrantEnd[];
}

/** Runs a prompt whose first grant is on the engine `a`, and the second on `b`. */
const runPrompt = async (incident: Incident, className: string, parts: number): Promise<Run> => {
  const sent: string[] = [];
  const grantEnds: GrantEnd[] = [];
  const claimEnds: ClaimEnd[] = [];
  let isEvacuated = false;
  let grants = 0;
  const newClient = (name: string): EngineClient =>
    ({
      name,
      generate: (call: GenerateCall, onChunk: OnChunk) => {
        call.onSend?.();
        sent.push(name);
        onChunk({ attemptId: call.attemptId, seq: 0, text: "a", finishReason: "stop" });
        return Promise.resolve();
      },
      cancel: () => Promise.resolve(),
      reserveKv: () => {
        isEvacuated ||= incident === "evacuated when reserved";
        return Promise.resolve(true);
      },
      releaseKv: () => Promise.resolve(),
      exportSegment: () => {
        sent.push(name);
        return Promise.resolve("handle");
      },
    }) as Partial<EngineClient> as EngineClient;
  const clients = { a: newClient("a"), b: newClient("b") };
  const pools = {
    acquire: ({ id }: { id: string }) => {
      const isFirst = grants++ === 0;
      isEvacuated ||= incident === "evacuated when granted";
      const engine = isFirst ? "a" : "b";
      const members = Array.from({ length: parts }, () => engine);
      const grant = new Grant({ result: "granted", id, engine, members, isAlone: false }, [], {
        release: (end) => {
          grantEnds.push(end);
          return Promise.resolve();
        },
        isStale: () => isFirst && incident === "paused",
      });
      return Promise.resolve(grant);
    },
  } as unknown as PoolRouter;
  const directory = {
    getEngine: (name: "a" | "b") => ({ client: clients[name], vm: { failureDomain: name } }),
    isEvacuated: (domain: string) => isEvacuated && domain === "a",
  } as unknown as UpstreamDirectory;
  const retries = new RetryBudget();
  while (retries.trySpend()) {
    // No retry is left: another grant isn't one.
  }
  const common = { ...getCommon(claimEnds), retries };
  const runner = new PromptRunner({ ...common, directory, pools, holder: "p/1" });
  const trace = newTrace();
  const req: PromptRequest = {
    ...{ path: PromptPath.Chat, body: "{}", model: "m", maxTokens: 10, className },
    ...{ customer: "c", idempotencyKey: "k", fingerprint: "f", prefixBlocks: [] },
    promptBytes: parts > 1 ? 8_000 : 100,
    signal: new AbortController().signal,
  };
  const said = await observe(trace, claimEnds, () =>
    runner.run(trace, req, { onChunk: () => undefined }),
  );
  return { said, sent, ends: grantEnds };
};

// Guards against prompts that reach an evacuated failure domain because their process held a grant.
describe("a grant held while its failure domain is evacuated", () => {
  const cases: readonly [incident: Incident, parts: number, sent: readonly string[]][] = [
    ["none", 1, ["a"]],
    ["paused", 1, ["b"]],
    ["evacuated when granted", 1, ["b"]],
    ["evacuated when granted", 2, ["b", "b"]],
    ["evacuated when reserved", 2, ["b", "b"]],
  ];
  for (const className of ["dialogue", "order"]) {
    for (const [incident, parts, sent] of cases) {
      it(`${className} in ${String(parts)} parts: ${incident}`, async () => {
        const run = await runPrompt(incident, className, parts);
        expect(run.sent).to.deep.equal(sent);
        expect(run.said.verdict).to.equal(ANSWERED.verdict);
        const { Unused, Done } = GrantEnd;
        expect(run.ends).to.deep.equal(incident === "none" ? [Done] : [Unused, Done]);
      });
    }
  }
});
