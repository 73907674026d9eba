import {
  OverloadControl,
  ProcessLifecycle,
  SystemClock,
  SystemRandom,
  type AnswerSink,
  type PromptOutcome,
} from "@lycheepulley/core";
import { newSilentLogger } from "@lycheepulley/telemetry";
import { expect } from "chai";

import { CallerServer } from "./CallerServer.js";
import type { ServingApi } from "./types.js";

const ID = "req_p.1.1.1";
const POSITIONS = [0, 1, 2, 3];
const PROMPT = { model: "m", messages: [{ role: "user", content: "hi" }], stream: true };

const runPrompt = (_: unknown, { onChunk }: AnswerSink): Promise<PromptOutcome> => {
  POSITIONS.forEach((seq) => {
    const finishReason = seq === POSITIONS.length - 1 ? "stop" : undefined;
    onChunk({ attemptId: "a", seq, text: String(seq), finishReason });
  });
  const outputTokens = POSITIONS.length;
  return Promise.resolve({
    ...{ finishReason: "stop", promptTokens: 1, outputTokens, replayed: undefined },
  });
};

const api: ServingApi = {
  authenticate: () => "c",
  getRedirectAddress: () => undefined,
  accept: () => ({
    requestId: ID,
    runPrompt,
    runService: () => Promise.reject(new Error("not expected")),
    reject: () => undefined,
  }),
  maxBodyBytes: 1_000,
  isFull: false,
  listModels: () => ["m"],
  getAddresses: () => ({ addresses: [], keepMs: 0 }),
  fetchFate: () => Promise.resolve(undefined),
  getMetrics: () => Promise.resolve(""),
};

describe("last event that a caller names", () => {
  let server: CallerServer;
  let origin: string;

  beforeEach(async () => {
    server = new CallerServer(api, {
      ...{ clock: new SystemClock(), lifecycle: new ProcessLifecycle() },
      load: new OverloadControl({ clock: new SystemClock(), random: new SystemRandom() }),
      logger: newSilentLogger(),
    });
    await server.listen("127.0.0.1", 0);
    origin = `http://127.0.0.1:${String(server.port)}`;
    const res = await fetch(`${origin}/v1/chat/completions`, {
      ...{ method: "POST", headers: { "x-reconnect-ms": "20000" }, body: JSON.stringify(PROMPT) },
    });
    expect(getPositions(await res.text())).to.deep.equal(POSITIONS);
  });
  afterEach(() => server.close());

  const getPositions = (stream: string): number[] =>
    [...stream.matchAll(/^id: .*:(\d+)$/gm)].map(([, seq]) => Number(seq));

  const resume = (headers: Record<string, string>): Promise<Response> =>
    fetch(`${origin}/v1/requests/${ID}/stream`, { headers });

  const VALID: readonly [name: string, headers: Record<string, string>, positions: number[]][] = [
    ["none", {}, [0, 1, 2, 3]],
    ["an empty id", { "last-event-id": "" }, [0, 1, 2, 3]],
    ["the first event", { "last-event-id": `${ID}:0` }, [1, 2, 3]],
    ["the last event", { "last-event-id": `${ID}:3` }, []],
  ];
  for (const [name, headers, positions] of VALID) {
    it(`goes on behind ${name}`, async () => {
      const res = await resume(headers);
      const text = await res.text();
      expect([res.status, getPositions(text)]).to.deep.equal([200, positions]);
      expect(text.endsWith("data: [DONE]\n\n")).to.equal(true);
    });
  }

  const INVALID = [
    ...["garbage", "1", `${ID}:`, `${ID}:-3`, `${ID}:0x1`, `${ID}:1e0`, `${ID}:01`, `${ID}:1.0`],
    ...[`${ID}:4`, `${ID}:9`, "req_p.1.1.2:1", `${ID}:1:1`, `${ID}:1, ${ID}:2`],
  ];
  for (const lastEventId of INVALID) {
    // A position that isn't one of the answer's was taken for one, and a part ended as complete.
    it(`refuses ${JSON.stringify(lastEventId)}`, async () => {
      expect((await resume({ "last-event-id": lastEventId })).status).to.equal(410);
    });
  }
});
