import { createServer, type AddressInfo, type Server } from "node:net";

import { AnswerAssembler, isPeerError } from "@lycheepulley/core";
import { expect } from "chai";

import type { EngineClient } from "./EngineClient.js";
import { ExtendedEngineClient } from "./ExtendedEngineClient.js";
import { PlainEngineClient } from "./PlainEngineClient.js";

const LOCALHOST = "127.0.0.1";
const HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
const ATTEMPT = "req:a1";
const TEXTS = ["a", "b", "ć", "d"];
const ANSWER = TEXTS.join("");
const DONE = "data: [DONE]\n\n";

const newData = (text: string, finishReason: string | null = null): string => {
  const data = { choices: [{ index: 0, delta: { content: text }, finish_reason: finishReason }] };
  return `data: ${JSON.stringify(data)}\n\n`;
};

interface Dialect {
  readonly name: string;
  newClient(origin: string): EngineClient;
  newEvent(seq: number): string;
}

const newEventData = (seq: number): string =>
  newData(TEXTS[seq] ?? "", seq === TEXTS.length - 1 ? "stop" : null);

const EXTENDED: Dialect = {
  name: "an extended engine",
  newClient: (origin) => new ExtendedEngineClient({ name: "e", origin }),
  newEvent: (seq) => `id: ${ATTEMPT}:${String(seq)}\n${newEventData(seq)}`,
};
const PLAIN: Dialect = {
  name: "a plain engine",
  newClient: (origin) => new PlainEngineClient({ name: "e", origin, model: "m" }),
  newEvent: newEventData,
};
const BOTH = [EXTENDED, PLAIN];

/** A body whose event 2 is replaced by what `change` makes of it. */
const newBody = (dialect: Dialect, change: (event: string) => string): Buffer => {
  const bytes = (text: string): Buffer => Buffer.from(text);
  return Buffer.concat([
    bytes(dialect.newEvent(0) + dialect.newEvent(1)),
    Buffer.from(change(bytes(dialect.newEvent(2)).toString("latin1")), "latin1"),
    bytes(dialect.newEvent(3) + DONE),
  ]);
};

const toChunk = (body: Buffer): Buffer =>
  Buffer.concat([Buffer.from(`${body.length.toString(16)}\r\n`), body, Buffer.from("\r\n")]);

const FRAMINGS: readonly [name: string, frame: (body: Buffer) => Buffer][] = [
  [
    "a length",
    (body) =>
      Buffer.concat([Buffer.from(`${HEAD}Content-Length: ${String(body.length)}\r\n\r\n`), body]),
  ],
  [
    "chunks",
    (body) =>
      Buffer.concat([
        Buffer.from(`${HEAD}Transfer-Encoding: chunked\r\n\r\n`),
        ...[...body].map((_, at) => toChunk(body.subarray(at, at + 1))),
        Buffer.from("0\r\n\r\n"),
      ]),
  ],
];

/** Replaces the id of an event, if it has one. */
const withId = (id: string) => (event: string) => event.replace(/^id: .*$/m, id);
const withData = (data: string) => (event: string) => event.replace(/^data: .*$/m, `data: ${data}`);
const before =
  (bytes: string) =>
  (event: string): string =>
    bytes + event;

type Case = readonly [
  name: string,
  change: (event: string) => string,
  dialects: readonly Dialect[],
];

const VALID: readonly Case[] = [
  ["nothing", (event) => event, BOTH],
  ["comments", before(": keep-alive\n\n: a\n"), BOTH],
  ["CRLF", (event) => event.replaceAll("\n", "\r\n"), BOTH],
  ["an event's type", before("event: message\n"), BOTH],
  ["a time to reconnect alone", before("retry: 3000\n\n"), BOTH],
  ["an id of its own", before("id: 7\n"), [PLAIN]],
  ["an id of its own with a colon", before("id: req:7\n"), [PLAIN]],
  ["an empty finish reason", (event) => event.replace("null", '""'), BOTH],
  ["no finish reason", (event) => event.replace(',"finish_reason":null', ""), BOTH],
  ["no index", (event) => event.replace('"index":0,', ""), BOTH],
  [
    "text in place of a delta",
    (event) => event.replace(/"delta":\{"content":(".*?")\}/, '"text":$1'),
    BOTH,
  ],
  [
    "a role alone",
    before(`data: {"choices":[{"index":0,"delta":{"role":"assistant"}}]}\n\n`),
    [PLAIN],
  ],
  ["the same id again, and the one before", (event) => event + EXTENDED.newEvent(1), [EXTENDED]],
  ["the next event first", (event) => EXTENDED.newEvent(3) + event, [EXTENDED]],
  ["an event of another attempt", before(`id: req:a0:2\n${newData("x")}`), [EXTENDED]],
];

const INVALID: readonly Case[] = [
  ["a block of bytes", before("\x80\xffgarbage\n\n"), BOTH],
  ["a line of bytes", before("\x80\xff\n"), BOTH],
  ["bytes without a line's end", before("\x80\xffgarbage"), BOTH],
  ["letters without a line's end", before("garbage"), BOTH],
  ["a field that no event has", before("size: 7\n\n"), BOTH],
  ["a chunk's size", before("1c\r\n"), BOTH],
  ["a comment of bytes", before(": \x80\xff\n\n"), BOTH],
  ["a control byte in a comment", before(": \x00\n\n"), BOTH],
  ["bytes in place of a character", (event) => event.replace("\xc4\x87", "\x80\xff"), BOTH],
  ["half of a character", (event) => event.replace("\xc4\x87", "\xc4"), BOTH],
  ["a type that takes the event's line", before("event: "), BOTH],
  ["data that isn't JSON", before("data: garbage\n\n"), BOTH],
  ["data that isn't a chunk", before("data: 7\n\n"), BOTH],
  ["an event without an id", before(newData("x")), [EXTENDED]],
  ["data without choices", before('data: {"choices":[]}\n\n'), BOTH],
  ["an error", before('event: error\ndata: {"error":{"message":"x"}}\n\n'), BOTH],
  ["a choice that has nothing", withData('{"choices":[{}]}'), BOTH],
  ["a choice of another kind", withData('{"choices":[{"index":0,"message":"x"}]}'), BOTH],
  ["the second choice", withData('{"choices":[{"index":1,"delta":{"content":"x"}}]}'), BOTH],
  ["an event with an empty id", before(`id: \n${newData("x")}`), [EXTENDED]],
  ["an id without an attempt", withId("id: 2"), [EXTENDED]],
  ["an id without a position", withId(`id: ${ATTEMPT}:`), [EXTENDED]],
  ["a position of letters", withId(`id: ${ATTEMPT}:two`), [EXTENDED]],
  ["a position in another notation", withId(`id: ${ATTEMPT}:0x2`), [EXTENDED]],
  ["a position with a sign", withId(`id: ${ATTEMPT}:-2`), [EXTENDED]],
  ["two ids", before(`id: ${ATTEMPT}:1\n`), [EXTENDED]],
];

interface Observation {
  /** Text of the chunks that are next in order. */
  readonly text: string;
  readonly finishReason: string | undefined;
  readonly isRejected: boolean;
}

describe("garbage in engines' streams", () => {
  let server: Server;
  let bytes: Buffer;

  beforeEach((done) => {
    server = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.once("data", () => {
        socket.end(bytes);
      });
    });
    server.listen(0, LOCALHOST, done);
  });
  afterEach(() => {
    server.close();
  });

  const observe = async (dialect: Dialect): Promise<Observation> => {
    const { port } = server.address() as AddressInfo;
    const client = dialect.newClient(`http://${LOCALHOST}:${String(port)}`);
    const assembler = new AnswerAssembler();
    assembler.beginAttempt(ATTEMPT);
    let text = "";
    try {
      await client.generate(
        {
          ...{ attemptId: ATTEMPT, path: "/v1/chat/completions", body: "{}", priority: 1 },
          ...{ timeoutMs: 1_000, signal: new AbortController().signal },
        },
        (chunk) => {
          text += assembler
            .push(chunk)
            .map((one) => one.text)
            .join("");
        },
      );
      return { text, finishReason: assembler.finishReason, isRejected: false };
    } catch (err) {
      expect(isPeerError(err) && err.sent).to.equal(true);
      return { text, finishReason: assembler.finishReason, isRejected: true };
    } finally {
      await client.close();
    }
  };

  for (const [framing, frame] of FRAMINGS) {
    for (const [name, change, dialects] of VALID) {
      for (const dialect of dialects) {
        it(`takes ${name} from ${dialect.name}, ${framing}`, async () => {
          bytes = frame(newBody(dialect, change));
          const whole = { text: ANSWER, finishReason: "stop", isRejected: false };
          expect(await observe(dialect)).to.deep.equal(whole);
        });
      }
    }
    for (const [name, change, dialects] of INVALID) {
      for (const dialect of dialects) {
        // Bytes that are no event became text, or took the place of an event of an answer that ended as complete.
        it(`refuses ${name} from ${dialect.name}, ${framing}`, async () => {
          bytes = frame(newBody(dialect, change));
          const part = { text: "ab", finishReason: undefined, isRejected: true };
          expect(await observe(dialect)).to.deep.equal(part);
        });
      }
    }
  }

  for (const dialect of BOTH) {
    for (const size of ["ffff", "0000ffff", "000000000000ffff"]) {
      // The parser takes digits in place of a chunk's size for one, and the bytes behind it for events.
      it(`refuses ${size} in place of a chunk's size from ${dialect.name}`, async () => {
        const events = [0, 1, 2, 3].map((seq) => toChunk(Buffer.from(dialect.newEvent(seq))));
        bytes = Buffer.concat([
          Buffer.from(`${HEAD}Transfer-Encoding: chunked\r\n\r\n`),
          ...events.slice(0, 2),
          Buffer.from(`${size}\r\n\x80\xffgarbage`, "latin1"),
          ...events.slice(2),
          toChunk(Buffer.from(DONE)),
          Buffer.from("0\r\n\r\n"),
        ]);
        const part = { text: "ab", finishReason: undefined, isRejected: true };
        expect(await observe(dialect)).to.deep.equal(part);
      });
    }
  }
});
