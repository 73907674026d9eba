import { createServer, type AddressInfo, type Server } from "node:net";

import { AnswerAssembler, SystemClock } from "@lycheepulley/core";
import { ExtendedEngineClient } from "@lycheepulley/engines";
import { expect } from "chai";

import { AttemptStream } from "./AttemptStream.js";

const LOCALHOST = "127.0.0.1";
const ATTEMPT = "req:a1";
const DONE = "data: [DONE]\n\n";

const newEvent = (
  seq: number,
  text = "abcd".charAt(seq),
  reason = seq === 3 ? "stop" : null,
): string => {
  const data = { choices: [{ index: 0, delta: { content: text }, finish_reason: reason }] };
  return `id: ${ATTEMPT}:${String(seq)}\ndata: ${JSON.stringify(data)}\n\n`;
};
const newEvents = (from: number, to = 4): string =>
  Array.from({ length: to - from }, (_, at) => newEvent(from + at)).join("");

interface Case {
  readonly name: string;
  /** Body of the first answer; those to resumes are sound. */
  readonly body: string;
  readonly text: string;
  readonly requests: number;
}

const CASES: readonly Case[] = [
  { name: "a sound stream", body: newEvents(0) + DONE, text: "abcd", requests: 1 },
  {
    name: "a block of bytes",
    ...{ body: `${newEvents(0, 2)}\x80\xffgarbage\n\n${newEvents(2)}${DONE}` },
    ...{ text: "abcd", requests: 2 },
  },
  {
    name: "bytes before the first event",
    ...{ body: `\x80\xffgarbage${newEvents(0)}${DONE}`, text: "abcd", requests: 2 },
  },
  {
    name: "an event without an id",
    ...{ body: newEvents(0, 2) + newEvent(2, "x").replace(/^id.*\n/, "") + newEvents(2) + DONE },
    ...{ text: "abcd", requests: 2 },
  },
  {
    name: "an event left out",
    ...{ body: newEvents(0, 2) + newEvents(3) + DONE, text: "abcd", requests: 2 },
  },
  {
    name: "an event again",
    ...{ body: newEvents(0, 2) + newEvents(1) + DONE, text: "abcd", requests: 1 },
  },
  {
    name: "an earlier event with another text",
    ...{ body: newEvents(0, 2) + newEvent(1, "x") + newEvents(2) + DONE },
    ...{ text: "abcd", requests: 1 },
  },
  {
    name: "a position far ahead",
    ...{ body: newEvents(0, 2) + newEvent(900_000, "x") + newEvents(2) + DONE },
    ...{ text: "abcd", requests: 1 },
  },
  {
    name: "an end before the last events",
    ...{ body: newEvents(0, 2) + DONE + newEvents(2), text: "abcd", requests: 2 },
  },
  {
    name: "events behind the last one",
    ...{ body: newEvents(0) + newEvent(4, "x") + DONE, text: "abcd", requests: 1 },
  },
  {
    name: "bytes behind the last event",
    ...{ body: `${newEvents(0)}\x80\xffgarbage\n\n`, text: "abcd", requests: 1 },
  },
];

describe("attempts at engines that write garbage", () => {
  let server: Server;
  let bodies: string[];
  let requests: string[];

  beforeEach((done) => {
    requests = [];
    server = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.once("data", (bytes: Buffer) => {
        const request = bytes.toString().split("\r\n")[0] ?? "";
        requests.push(request);
        const from = Number(/[?]from=(\d+)/.exec(request)?.[1] ?? 0);
        const body = bodies.shift() ?? newEvents(from) + DONE;
        const head = `HTTP/1.1 200 OK\r\nContent-Length: ${String(body.length)}\r\n\r\n`;
        socket.end(Buffer.from(head + body, "latin1"));
      });
    });
    server.listen(0, LOCALHOST, done);
  });
  afterEach(() => {
    server.close();
  });

  for (const testCase of CASES) {
    // Answers ended as complete with bytes that no event of them has.
    it(`reads ${testCase.name}`, async () => {
      bodies = [testCase.body];
      const { port } = server.address() as AddressInfo;
      const engine = new ExtendedEngineClient({
        ...{ name: "e", origin: `http://${LOCALHOST}:${String(port)}` },
      });
      let text = "";
      const stream = new AttemptStream({
        ...{ engine, clock: new SystemClock(), assembler: new AnswerAssembler() },
        ...{ onChunk: (chunk) => (text += chunk.text), requireEndMarker: true },
      });
      const call = { attemptId: ATTEMPT, path: "/v1/completions", body: "{}", priority: 1 };
      try {
        await stream.run(
          { ...call, timeoutMs: 2_000 },
          { signal: new AbortController().signal, firstTokenTimeoutMs: 1_000 },
        );
      } finally {
        await engine.close();
      }
      expect([text, requests.length]).to.deep.equal([testCase.text, testCase.requests]);
    });
  }
});
