import { expect } from "chai";
import fc from "fast-check";

import { AnyEvents, EventFault, PositionedEvents, type EventFormat } from "./EventFormat.js";
import { EventReader, type InvalidBytes, type StreamBlock } from "./EventReader.js";

const POSITIONED = new PositionedEvents(new Map([["x-version", /^\d+$/]]));
const RUNS = { seed: 20_261_207, numRuns: 300 };

interface Read {
  readonly blocks: readonly StreamBlock[];
  readonly invalid: InvalidBytes | undefined;
  readonly pendingBytes: number;
  readonly endFault: EventFault | undefined;
}

/** Reads a Latin-1 text in pieces of `size` bytes, until it is invalid. */
const read = (
  text: string,
  options: { format?: EventFormat; size?: number; lastEventId?: string | undefined } = {},
): Read => {
  const { format = POSITIONED, size = text.length, lastEventId } = options;
  const reader = new EventReader(format.newCheck(lastEventId));
  const blocks: StreamBlock[] = [];
  let invalid: InvalidBytes | undefined;
  for (let at = 0; at < text.length && !invalid; at += size) {
    const done = reader.push(Buffer.from(text.slice(at, at + size), "latin1"));
    blocks.push(...done.blocks);
    ({ invalid } = done);
  }
  const endFault = reader.findEarlyEnd()?.fault;
  return { blocks, invalid, pendingBytes: reader.pendingBytes, endFault };
};

const event = (id: number | string, data = "x"): string => `id: ${String(id)}\ndata: ${data}\n\n`;
const utf8 = (text: string): string => Buffer.from(text).toString("latin1");

describe("EventReader and streams of numbered events", () => {
  const valid: readonly [name: string, text: string, lastEventId?: string][] = [
    ["numbers from 1", event(1) + event(2) + event(3)],
    ["numbers behind the caller's event", event(13) + event(14), "12"],
    ["a beginning that nobody knows", event(7) + event(8), "twelve"],
    ["several lines of data", "id: 1\ndata: a\ndata:b\ndata\n\n"],
    ["data before the id", "data: a\nid: 1\n\n"],
    ["the other fields of the media type", "event: token\nretry: 5\nid: 1\ndata: a\n\n"],
    ["a field of the first line", `x-version: 3\n${event(1)}${event(2)}`],
    ["comments", `: a\n\n\n${event(1)}id: 2\n: b\ndata: c\n\n: d\n\n`],
    ["CRLF", "id: 1\r\ndata: a\r\n\r\n: b\r\n\r\nid: 2\r\ndata: c\r\n\r\n"],
    ["characters of several bytes", event(1, utf8("añ€😀\tb"))],
  ];
  for (const [name, text, lastEventId] of valid) {
    it(`takes ${name}, in pieces of any size`, () => {
      for (let size = 1; size <= text.length; size += 1) {
        const { blocks, invalid, pendingBytes, endFault } = read(text, { size, lastEventId });
        const bytes = Buffer.concat(blocks.map((block) => block.bytes)).toString("latin1");
        expect([invalid, pendingBytes, endFault, bytes]).to.deep.equal([
          ...[undefined, 0, undefined],
          text,
        ]);
      }
    });
  }

  const first = event(1);
  const invalidTexts: readonly [name: string, text: string, fault: EventFault][] = [
    ["a block of bytes", "\x80\xffgarbage\n\n", EventFault.Field],
    ["empty lines and a block of bytes", "\r\n\n\x80\xffgarbage\n\n", EventFault.Field],
    ["bytes without a line's end", "\x80\xffgar", EventFault.Field],
    ["the beginning of a name that no field has", "ix", EventFault.Field],
    ["a field that no event has", "size: 7\n", EventFault.Field],
    ["a name in upper case", `ID: 2\ndata: x\n\n`, EventFault.Field],
    ["an id before a blank", "id : 2\ndata: x\n\n", EventFault.Field],
    ["a chunk's size", `1c\r\n${event(2)}`, EventFault.Field],
    ["a first line's field in the second", `id: 2\nx-version: 3\ndata: x\n\n`, EventFault.Field],
    ["a first line's field with another value", `x-version: new\n${event(2)}`, EventFault.Field],
    ["two ids", "id: 2\nid: 2\ndata: x\n\n", EventFault.Field],
    ["bytes that are no UTF-8", event(2, "\x80\xff"), EventFault.Bytes],
    ["a torn character", event(2, utf8("€").slice(0, 2)), EventFault.Bytes],
    ["a control byte", event(2, "a\x00b"), EventFault.Bytes],
    ["a carriage return inside a line", event(2, "a\rb"), EventFault.Bytes],
    ["a comment of bytes", ": \x80\xff\n", EventFault.Bytes],
    ["an event without an id", "data: x\n\n", EventFault.Id],
    ["an empty id", event(""), EventFault.Id],
    ["an id that is no number", event("next"), EventFault.Id],
    ["an id with a sign", event("+2"), EventFault.Id],
    ["an id with a leading zero", event("02"), EventFault.Id],
    ["an id that numbers can't tell apart", event("9".repeat(17)), EventFault.Id],
    ["the last event again", event(1), EventFault.Order],
    ["an event that was left out", event(3), EventFault.Order],
    ["an event without data", "id: 2\n\n", EventFault.NoData],
  ];
  for (const [name, text, fault] of invalidTexts) {
    it(`refuses ${name}, and takes what is before it`, () => {
      for (let size = 1; size <= text.length + first.length; size += 1) {
        const { blocks, invalid } = read(first + text + event(2), { size });
        expect(invalid).to.deep.equal({ fault, offset: first.length });
        expect(blocks.map(({ bytes }) => bytes.toString())).to.deep.equal([first]);
      }
    });
  }

  const beginnings: readonly [text: string, lastEventId: string | undefined][] = [
    [event(2), undefined],
    [event(0), undefined],
    [event(12), "12"],
    [event(1), "12"],
    [event(14), "12"],
  ];
  for (const [text, lastEventId] of beginnings) {
    it(`refuses ${JSON.stringify(text)} behind ${lastEventId ?? "nothing"}`, () => {
      expect(read(text, { lastEventId }).invalid?.offset).to.equal(0);
    });
  }

  it("refuses the end of a stream without an event, unless it is resumed", () => {
    expect(read(": a\n\n").endFault).to.equal(EventFault.Empty);
    expect(read("", { lastEventId: "12" }).endFault).to.equal(undefined);
  });

  // Each short line and each tiny piece was kept as an object of its own.
  it("refuses an event of very many lines", () => {
    const { invalid } = read(`id: 1\n${"data\n".repeat(100_000)}`, { size: 65_536 });
    expect(invalid?.fault).to.equal(EventFault.Size);
  });

  it("refuses an event without an end", () => {
    expect(read(event(1, "x".repeat(2_000_000)), { size: 65_536 }).invalid?.fault).to.equal(
      EventFault.Size,
    );
  });

  it("never throws, and takes no bytes that weren't sent", () => {
    const bytes = fc.oneof(
      fc.uint8Array({ maxLength: 40 }).map((array) => Buffer.from(array).toString("latin1")),
      fc.constantFrom(...["id: ", "data: ", "\n", "\r\n", ": ", event(1), event(2), event(3)]),
    );
    fc.assert(
      fc.property(fc.array(bytes, { maxLength: 12 }), fc.nat({ max: 30 }), (texts, size) => {
        const text = texts.join("");
        const { blocks } = read(text, { size: size + 1 });
        expect(text.startsWith(blocks.map((block) => block.bytes.toString("latin1")).join(""))).to
          .be.true;
        const ids = blocks.filter(({ isEvent }) => isEvent).map(({ id }) => id);
        expect(ids).to.deep.equal(ids.map((_, at) => String(at + 1)));
      }),
      RUNS,
    );
  });
});

describe("EventReader and streams of any kind", () => {
  const format = new AnyEvents();
  const streams: readonly [name: string, text: string, ids: (string | undefined)[]][] = [
    [
      ...(["events without ids, and with unknown fields"] as const),
      'data: {"a":1}\n\nevent: error\ndata: x\n\nother: 1\n\nid: 9:4\ndata: y\n\ndata: [DONE]\n\n',
      [undefined, undefined, undefined, "9:4", undefined],
    ],
    [
      ...(["comments and CRLF"] as const),
      "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n: note\n\nid: 3\r\ndata: d\r\n\r\n",
      ["1", "2", undefined, "3"],
    ],
  ];
  for (const [name, text, ids] of streams) {
    for (const size of [1, 2, 5, 7, 1_000]) {
      it(`takes ${name}, in pieces of ${String(size)} bytes`, () => {
        const { blocks, ...rest } = read(text, { format, size });
        expect(rest).to.deep.equal({ invalid: undefined, pendingBytes: 0, endFault: undefined });
        expect(blocks.map(({ id }) => id)).to.deep.equal(ids);
        expect(Buffer.concat(blocks.map(({ bytes }) => bytes)).toString()).to.equal(text);
      });
    }
  }

  // Empty lines in front of garbage went to the caller with the event before them.
  it("returns comments apart from events, and empty lines with what follows", () => {
    const { blocks } = read(": a\n\n\n\nid: 1\n: b\n\n\n: c\n\n", { format });
    const seen = blocks.map(({ bytes, isEvent }) => [bytes.toString(), isEvent]);
    expect(seen).to.deep.equal([
      [": a\n\n", false],
      ["\n\nid: 1\n: b\n\n", true],
      ["\n: c\n\n", false],
    ]);
    expect(read("id: 1\ndata: a\n\n\r\n", { format }).blocks).to.have.length(1);
  });

  // An event that arrived in tiny pieces was copied and read again with each of them.
  for (const [name, one] of [
    ["any kind", format],
    ["numbered events", POSITIONED],
  ] as const) {
    it(`reads a long event of ${name} in tiny pieces at a cost that grows with its length only`, function () {
      this.timeout(5_000);
      const reader = new EventReader(one.newCheck(undefined));
      const piece = Buffer.alloc(16, "x");
      reader.push(Buffer.from("id: 1\ndata: "));
      for (let count = 0; count < 65_000; count++) {
        reader.push(piece);
      }
      expect(reader.push(Buffer.from("\n\n")).blocks).to.have.length(1);
    });
  }

  it("keeps an event until it is complete", () => {
    const { blocks, pendingBytes } = read("id: 1\ndata: hal", { format });
    expect([blocks, pendingBytes]).to.deep.equal([[], 15]);
  });

  it("splits any bytes into events without losing or adding bytes", () => {
    const anyBytes = fc.uint8Array({ maxLength: 200 }).map((array) => Buffer.from(array));
    fc.assert(
      fc.property(fc.array(anyBytes, { maxLength: 10 }), (chunks) => {
        const reader = new EventReader(format.newCheck());
        const events = chunks.flatMap((chunk) => reader.push(chunk).blocks);
        const whole = Buffer.concat(events.map(({ bytes }) => bytes));
        const all = Buffer.concat(chunks);
        expect(all.subarray(0, whole.length).equals(whole)).to.equal(true);
        expect(whole.length + reader.pendingBytes).to.equal(all.length);
      }),
      RUNS,
    );
  });
});
