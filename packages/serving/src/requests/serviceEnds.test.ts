import type { ServiceRequest } from "@lycheepulley/core";
import type { ServiceAnswer, ServiceClient } from "@lycheepulley/services";
import { expect } from "chai";

import type { ClaimEnd } from "../claims/ClaimShard.js";
import type { UpstreamDirectory } from "../upstreams/UpstreamDirectory.js";
import { ServiceRunner } from "./ServiceRunner.js";
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

type ServiceStep = () => ServiceAnswer;

const answerWith =
  (code: number): ServiceStep =>
  () => ({ status: code, contentType: "text/plain", body: "" });
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
      name: "an answer of unknown end",
      steps: [failWith(() => status(200))],
      said: MAY_HAVE_RUN,
    },
    {
      name: "a status that states no run with an answer of unknown end",
      steps: [failWith(() => status(423))],
      said: NOT_RUN,
    },
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

  it("is repeated after an answer of unknown end if it is idempotent", async () => {
    const said = await observeService([failWith(() => status(200)), answerWith(200)], {
      method: "PUT",
      idempotencyKey: undefined,
    });
    expect(said).to.deep.equal({ ...ANSWERED, claim: undefined });
  });

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
