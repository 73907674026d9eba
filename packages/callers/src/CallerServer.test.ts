import { connect } from "node:net";

import {
  ProcessLifecycle,
  PulleyError,
  Step,
  OverloadControl,
  SystemClock,
  SystemRandom,
  Verdict,
  type Fate,
} from "@lycheepulley/core";
import { newSilentLogger } from "@lycheepulley/telemetry";
import { expect } from "chai";

import { CallerServer } from "./CallerServer.js";
import type { AcceptedRequest, ServingApi } from "./types.js";

const PROMPT = { model: "m", messages: [{ role: "user", content: "hi" }], max_tokens: 5 };

const newApi = (change: Partial<AcceptedRequest>): ServingApi => ({
  authenticate: () => "c",
  getRedirectAddress: () => undefined,
  accept: () => ({
    requestId: "req_p.1.1.1",
    runPrompt: () => Promise.reject(new Error("not expected")),
    runService: () => Promise.reject(new Error("not expected")),
    reject: () => undefined,
    ...change,
  }),
  maxBodyBytes: 100,
  isFull: false,
  listModels: () => [],
  getAddresses: () => ({ addresses: [], keepMs: 0 }),
  fetchFate: () => Promise.resolve<Fate | undefined>(undefined),
  getMetrics: () => Promise.resolve(""),
});

const outcome = { status: 200, contentType: "text/plain", body: "done", isReplay: false };
const refusal = new PulleyError("queue full", {
  ...{ code: "overloaded", step: Step.Admit, verdict: Verdict.NotRun, status: 429 },
});

// Guards against "not run" of a request that was handed on: every error but a PulleyError got it.
describe("CallerServer", () => {
  const CASES = [
    {
      name: "a body over the limit",
      path: "/services/letters/send",
      body: "x".repeat(101),
      api: {},
      verdict: Verdict.NotRun,
    },
    {
      name: "a runner's own verdict",
      path: "/services/letters/send",
      body: "x",
      api: { runService: () => Promise.reject(refusal) },
      verdict: Verdict.NotRun,
    },
    {
      name: "a runner's unexpected error",
      path: "/services/letters/send",
      body: "x",
      api: { runService: () => Promise.reject(new TypeError("bug")) },
      verdict: Verdict.MayHaveRun,
    },
    {
      name: "an answer that can't be passed on",
      path: "/services/letters/send",
      body: "x",
      api: { runService: () => Promise.resolve({ ...outcome, contentType: "text\n" }) },
      verdict: Verdict.MayHaveRun,
    },
    {
      name: "a prompt's unexpected error",
      path: "/v1/chat/completions",
      body: JSON.stringify(PROMPT),
      api: { runPrompt: () => Promise.reject(new TypeError("bug")) },
      verdict: Verdict.MayHaveRun,
    },
    {
      name: "a streamed prompt's unexpected error",
      path: "/v1/chat/completions",
      body: JSON.stringify({ ...PROMPT, stream: true }),
      api: { runPrompt: () => Promise.reject(new TypeError("bug")) },
      verdict: Verdict.MayHaveRun,
    },
    {
      name: "a prompt that can't be read",
      path: "/v1/chat/completions",
      body: "{",
      api: {},
      verdict: Verdict.NotRun,
    },
  ];
  for (const { name, path, body, api, verdict } of CASES) {
    it(`answers ${verdict} after ${name}`, async () => {
      const server = new CallerServer(newApi(api), {
        ...{ clock: new SystemClock(), lifecycle: new ProcessLifecycle() },
        load: new OverloadControl({ clock: new SystemClock(), random: new SystemRandom() }),
        logger: newSilentLogger(),
      });
      await server.listen("127.0.0.1", 0);
      try {
        const url = `http://127.0.0.1:${String(server.port)}${path}`;
        const res = await fetch(url, { method: "POST", body });
        expect(await res.json()).to.have.nested.property("error.verdict", verdict);
      } finally {
        await server.close();
      }
    });
  }

  const framed: readonly [
    name: string,
    request: string,
    status: number,
    body: string,
    length: string | undefined,
  ][] = [
    ["HTTP/1.1", "POST /services/letters/send HTTP/1.1", 200, "dóne", "5"],
    ["HTTP/1.0", "POST /services/letters/send HTTP/1.0", 200, "dóne", "5"],
    ["HTTP/1.0 without a body", "POST /services/letters/send HTTP/1.0", 200, "", "0"],
    ["status 204", "POST /services/letters/send HTTP/1.0", 204, "", undefined],
    ["HEAD", "HEAD /services/letters/send HTTP/1.0", 200, "", undefined],
  ];
  for (const [name, request, status, body, length] of framed) {
    // A part of an answer that ends with its connection is a whole one to its caller.
    it(`frames a service's answer by its length: ${name}`, async () => {
      const runService = (): Promise<typeof outcome> =>
        Promise.resolve({ ...outcome, status, body });
      const server = new CallerServer(newApi({ runService }), {
        ...{ clock: new SystemClock(), lifecycle: new ProcessLifecycle() },
        load: new OverloadControl({ clock: new SystemClock(), random: new SystemRandom() }),
        logger: newSilentLogger(),
      });
      await server.listen("127.0.0.1", 0);
      const socket = connect(server.port, "127.0.0.1");
      let answer = "";
      socket.on("data", (chunk: Buffer) => (answer += chunk.toString()));
      socket.write(`${request}\r\nHost: a\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
      await new Promise((resolve) => socket.once("end", resolve));
      await server.close();
      expect(/\r\ncontent-length: (\d+)/i.exec(answer)?.[1]).to.equal(length);
      expect(answer.slice(answer.indexOf("\r\n\r\n") + 4)).to.equal(body);
    });
  }
});
