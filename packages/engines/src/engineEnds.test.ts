import { createServer, type AddressInfo, type Server, type Socket } from "node:net";

import { PeerError, type AnswerChunk } from "@lycheepulley/core";
import { expect } from "chai";

import type { EngineClient, OnChunk } from "./EngineClient.js";
import { ExtendedEngineClient } from "./ExtendedEngineClient.js";
import { PlainEngineClient } from "./PlainEngineClient.js";

const LOCALHOST = "127.0.0.1";
const OK = "HTTP/1.1 200 OK\r\n";
const TIMEOUT_MS = 1_000;

const newEvent = (text: string): string =>
  `data: ${JSON.stringify({ choices: [{ delta: { content: text } }] })}\n\n`;
const DONE = "data: [DONE]\n\n";
const PART = newEvent("a") + newEvent("b");

const FRAMINGS: readonly [name: string, frame: (body: string) => string][] = [
  ["no framing", (body) => `${OK}\r\n${body}`],
  ["a length", (body) => `${OK}Content-Length: ${String(body.length)}\r\n\r\n${body}`],
  [
    "chunks",
    (body) =>
      `${OK}Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
  ],
];

const BODIES: readonly [name: string, body: string, isWhole: boolean][] = [
  ["its end marker", PART + DONE, true],
  ["no end marker", PART, false],
  ["a cut inside the end marker", PART + DONE.slice(0, -4), false],
  ["a cut behind the end marker's line", PART + DONE.slice(0, -1), false],
  ["a cut inside the last event", PART + newEvent("c").slice(0, -2), false],
  // Events of another answer were added to the one that had ended.
  ["events behind its end marker", PART + DONE + newEvent("c"), true],
  ["a cut event behind its end marker", PART + DONE + newEvent("c").slice(0, 9), true],
];

const signal = new AbortController().signal;
const READS: readonly [
  name: string,
  newClient: (origin: string) => EngineClient,
  read: (client: EngineClient, onChunk: OnChunk) => Promise<void>,
][] = [
  [
    "generate",
    (origin) => new ExtendedEngineClient({ name: "e", origin }),
    (client, onChunk) =>
      client.generate(
        {
          ...{ attemptId: "x", path: "/v1/completions", body: "{}", priority: 1 },
          ...{ timeoutMs: TIMEOUT_MS, signal },
        },
        onChunk,
      ),
  ],
  [
    "generate at a plain engine",
    (origin) => new PlainEngineClient({ name: "e", origin, model: "m" }),
    (client, onChunk) =>
      client.generate(
        {
          ...{ attemptId: "x", path: "/v1/completions", body: "{}", priority: 1 },
          ...{ timeoutMs: TIMEOUT_MS, signal },
        },
        onChunk,
      ),
  ],
  [
    "resume",
    (origin) => new ExtendedEngineClient({ name: "e", origin }),
    (client, onChunk) =>
      client.resume({ attemptId: "x", fromSeq: 0, timeoutMs: TIMEOUT_MS, signal }, onChunk),
  ],
];

describe("ends of engines' streams", () => {
  let server: Server;
  let onRequest: (socket: Socket) => void;

  beforeEach((done) => {
    server = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.once("data", () => {
        onRequest(socket);
      });
    });
    server.listen(0, LOCALHOST, done);
  });
  afterEach(() => {
    server.close();
  });

  for (const [name, newClient, read] of READS) {
    for (const [framing, frame] of FRAMINGS) {
      for (const [ending, body, isWhole] of BODIES) {
        for (const isReset of [false, true]) {
          it(`${isWhole ? "end" : "reject"} in ${name}: ${framing}, ${ending}, ${isReset ? "a reset" : "in order"}`, async () => {
            onRequest = (socket) => {
              if (isReset) {
                socket.write(frame(body));
                socket.resetAndDestroy();
              } else {
                socket.end(frame(body));
              }
            };
            const { port } = server.address() as AddressInfo;
            const client = newClient(`http://${LOCALHOST}:${String(port)}`);
            const chunks: AnswerChunk[] = [];
            const err: unknown = await read(client, (chunk) => chunks.push(chunk)).catch(
              (reason: unknown) => reason,
            );
            await client.close();
            expect(chunks.map(({ text }) => text).join("")).to.equal("ab");
            if (isWhole) {
              expect(err).to.equal(undefined);
            } else {
              expect(err).to.be.instanceOf(PeerError).and.to.include({ sent: true });
            }
          });
        }
      }
    }
  }
});
