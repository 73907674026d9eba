import { SeededRandom, sleep } from "@lycheepulley/core";
import { newSilentLogger } from "@lycheepulley/telemetry";
import { expect } from "chai";

import { CrashBook } from "./CrashBook.js";
import type { Route } from "./fleetConfig.js";
import { FleetView } from "./FleetView.js";
import { Forwarder } from "./Forwarder.js";
import { LoadBoard } from "./LoadBoard.js";
import { RetryWindow } from "./RetryWindow.js";
import { FakeCaller, FakeDialect, FakeTransport } from "./testing/FakeUpstreams.js";
import { ManualClock } from "./testing/ManualClock.js";
import { newConfig, newRoute, newUpstream } from "./testing/samples.js";
import { TicketKeeper } from "./TicketKeeper.js";
import { UpstreamHealth } from "./UpstreamHealth.js";

const STREAM: Partial<Route> = { isStream: true, isResumable: true, maxGapMs: 250 };
const SAFE: Partial<Route> = { repeat: "idempotent", targetMs: 150, timeoutMs: 1_000 };
const UNSAFE: Partial<Route> = { timeoutMs: 1_000 };

/** One process with fakes around it, and requests sent through it. */
class Story {
  readonly clock = new ManualClock();
  readonly transport = new FakeTransport();
  readonly caller = new FakeCaller();
  readonly view = new FleetView();
  readonly board = new LoadBoard({ clock: this.clock, onOwnChange: () => undefined });
  readonly orders: string[] = [];
  isUpstreamAlive = true;
  hasMemory = true;
  /** Orders for memory get no answer until this long has passed. */
  reserveMs = 0;
  readonly #abort = new AbortController();
  readonly #forwarder: Forwarder;

  constructor(upstreams = ["u0", "u1", "u2"]) {
    const { clock, transport, view, board } = this;
    const logger = newSilentLogger();
    view.applyConfig(newConfig());
    const list = upstreams.map((id, index) => newUpstream(id, { port: index + 1 }));
    view.applyUpstreams({ version: 1, upstreams: list }, 0, new Set());
    const control = {
      isAlive: () => Promise.resolve(this.isUpstreamAlive),
      reserve: (upstream: { id: string }, ticket: { id: string }) => {
        this.orders.push(`reserve ${upstream.id} ${ticket.id}`);
        return sleep(this.clock, this.reserveMs).then(() => this.hasMemory);
      },
      release: (upstream: { id: string }, id: string) => {
        this.orders.push(`release ${upstream.id} ${id}`);
        return Promise.resolve();
      },
    };
    this.#forwarder = new Forwarder({
      ...{ clock, transport, view, board, logger, control },
      random: new SeededRandom(1),
      health: new UpstreamHealth(clock),
      retries: new RetryWindow({
        clock,
        bounds: { ratio: 0.2, windowMs: 10_000, slack: 100 },
        getProcesses: () => 6,
      }),
      crashes: new CrashBook({ clock, onStrike: () => undefined }),
      tickets: new TicketKeeper({ clock, control, logger }),
      dialect: new FakeDialect(),
      onEnd: () => undefined,
    });
  }

  /** Takes a request; resolves once it was sent or answered. */
  async request(route: Partial<Route>, promptTokens = 0): Promise<void> {
    void this.#forwarder.forward(
      {
        head: {
          ...{ attemptId: "a1", method: "POST", path: "/a/", host: "a.example", headers: [] },
          ...{ deadlineMs: 10_000, apiKey: undefined, promptTokens, outputTokens: 100 },
          lastEventId: undefined,
        },
        route: newRoute(route),
        ...{ body: Buffer.from("body"), customer: undefined, priority: 1, revision: 1 },
        ...{ receivedMs: this.clock.now(), fingerprint: "f", signal: this.#abort.signal },
      },
      this.caller,
    );
    await this.settle();
  }

  async settle(): Promise<void> {
    await this.clock.advance(0);
  }

  async leave(): Promise<void> {
    this.#abort.abort();
    await this.settle();
  }

  get sentTo(): string[] {
    return this.transport.calls.map(({ req }) => req.headers[1] ?? "");
  }

  get resumedAfter(): string | undefined {
    return this.transport.last.req.headers[3];
  }
}

describe("Forwarder: streams", () => {
  it("goes on at another upstream after the last whole event, within one answer", async () => {
    const story = new Story();
    await story.request(STREAM, 5_000);
    story.transport.startStream(["seal", "first"]);
    story.transport.sendEvents(1, 2);
    story.transport.last.observer.onData(Buffer.from("id: 3\ndata: ha"));
    story.transport.last.observer.onError("sent", new Error("reset"));
    await story.settle();
    expect(story.resumedAfter).to.equal("2");
    story.transport.startStream(["seal", "second"]);
    story.transport.sendEvents(3, 4);
    story.transport.last.observer.onEnd();
    await story.settle();
    expect(story.caller.headers).to.include("first");
    expect(story.caller.body.match(/id: \d/g)).to.deep.equal(["id: 1", "id: 2", "id: 3", "id: 4"]);
    expect(story.caller.ending).to.equal("whole");
    expect(new Set(story.sentTo).size).to.equal(2);
  });

  it("cuts a stream that may not be resumed, so that it can't look complete", async () => {
    const story = new Story();
    await story.request({ ...STREAM, isResumable: false }, 5_000);
    story.transport.startStream();
    story.transport.sendEvents(1);
    story.transport.last.observer.onError("sent", new Error("reset"));
    await story.settle();
    expect(story.caller.ending).to.equal("cut");
    expect(story.sentTo.length).to.equal(1);
  });

  it("takes a stream that ends inside an event for broken", async () => {
    const story = new Story();
    await story.request(STREAM, 5_000);
    story.transport.startStream();
    story.transport.last.observer.onData(Buffer.from("id: 1\ndata: x\n\nid: 2\nda"));
    story.transport.last.observer.onEnd();
    await story.settle();
    expect(story.resumedAfter).to.equal("1");
  });

  it("passes an unframed stream on unframed", async () => {
    const story = new Story();
    await story.request(STREAM, 5_000);
    story.transport.startStream(["unframed"]);
    story.transport.sendEvents(1);
    story.transport.last.observer.onEnd();
    await story.settle();
    expect(story.caller).to.include({ isFramed: false, ending: "whole" });
  });

  const silences: readonly [name: string, isAlive: boolean, afterMs: number, sends: number][] = [
    ["stays with a silent upstream that is alive", true, 1_200, 1],
    ["leaves a silent upstream that is dead", false, 800, 2],
    ["leaves one that is alive before the caller would give up", true, 1_700, 2],
  ];
  for (const [name, isAlive, afterMs, sends] of silences) {
    it(name, async () => {
      const story = new Story();
      story.isUpstreamAlive = isAlive;
      await story.request(STREAM, 5_000);
      story.transport.startStream();
      story.transport.sendEvents(1);
      await story.clock.advance(afterMs);
      expect(story.sentTo.length).to.equal(sends);
    });
  }
});

describe("Forwarder: calls", () => {
  it("runs an at-most-once call once, whatever becomes of its answer", async () => {
    const story = new Story();
    await story.request(UNSAFE);
    story.transport.last.observer.onError("sent", new Error("reset"));
    await story.settle();
    expect(story.sentTo.length).to.equal(1);
    expect(story.caller).to.include({ status: 502, isOwn: true });
  });

  it("never waits less than its time for an at-most-once call that is silent", async () => {
    const story = new Story();
    await story.request(UNSAFE);
    await story.clock.advance(900);
    expect(story.caller.ending).to.equal("open");
    await story.clock.advance(100);
    expect(story.caller).to.include({ status: 504, isOwn: true });
    expect(story.transport.last.isAborted).to.equal(true);
  });

  it("tells when to come back, once upstreams said that they didn't run it", async () => {
    const story = new Story();
    await story.request(UNSAFE);
    story.transport.answer(503, ["not-run"]);
    await story.settle();
    story.transport.answer(503, ["not-run"]);
    await story.settle();
    expect(story.sentTo.length).to.equal(2);
    expect(story.caller).to.include({ status: 503, isOwn: true });
    expect(story.caller.retryAfterMs).to.be.above(0);
  });

  it("makes no promise of its own out of an upstream's bare 503", async () => {
    const story = new Story();
    await story.request(UNSAFE);
    story.transport.answer(503);
    await story.settle();
    expect(story.caller).to.include({ status: 502, isOwn: true });
  });

  it("asks another upstream for an idempotent call that is silent", async () => {
    const story = new Story();
    await story.request(SAFE);
    await story.clock.advance(301);
    expect(new Set(story.sentTo).size).to.equal(2);
    story.transport.answer(200, ["seal"], "body");
    await story.settle();
    expect(story.caller).to.include({ status: 200, body: "body", ending: "whole" });
  });

  it("gives a caller no answer of another request", async () => {
    const story = new Story();
    await story.request(UNSAFE);
    story.transport.answer(200, ["forged"], "another's");
    await story.settle();
    expect(story.caller).to.include({ status: 502, isOwn: true });
    expect(story.caller.body).to.not.include("another's");
  });

  it("passes an upstream's own failure on unchanged when it may not be repeated", async () => {
    const story = new Story();
    await story.request(UNSAFE);
    story.transport.answer(500, ["seal", "s"], "why");
    await story.settle();
    expect(story.caller).to.include({ status: 500, isOwn: false, body: "why" });
  });

  it("refuses at once when no upstream is listed", async () => {
    const story = new Story([]);
    await story.request(UNSAFE);
    expect(story.caller).to.include({ status: 503, isOwn: true });
    expect(story.caller.retryAfterMs).to.be.above(0);
  });

  it("drops the work at the upstream at once when the caller leaves", async () => {
    const story = new Story();
    await story.request(UNSAFE);
    await story.leave();
    expect(story.transport.last.isAborted).to.equal(true);
    expect(story.board.own).to.deep.equal([]);
  });
});

describe("Forwarder: prompts larger than one engine", () => {
  const LARGE: Partial<Route> = { ...STREAM, maxGapMs: 1_000, targetMs: 3_000 };

  it("holds memory before it sends, renews it, and lets go of all of it at the end", async () => {
    const story = new Story();
    await story.request(LARGE, 400_000);
    const reserved = story.orders.filter((order) => order.startsWith("reserve")).length;
    expect(reserved).to.be.above(0);
    expect(story.sentTo.length).to.equal(1);
    await story.clock.advance(1_200);
    expect(story.orders.length).to.equal(2 * reserved);
    story.transport.startStream();
    story.transport.sendEvents(1);
    story.transport.last.observer.onEnd();
    await story.settle();
    const ids = new Set(story.orders.map((order) => order.replace(/^\w+ /, "")));
    const released = story.orders.filter((order) => order.startsWith("release"));
    expect(released.length).to.equal(ids.size);
    await story.clock.advance(5_000);
    expect(story.orders.at(-1)).to.match(/^release/);
  });

  it("lets go of memory when its caller leaves", async () => {
    const story = new Story();
    await story.request(LARGE, 400_000);
    await story.leave();
    expect(story.orders.at(-1)).to.match(/^release/);
  });

  it("sends nothing unless all of the memory is held", async () => {
    const story = new Story();
    story.hasMemory = false;
    await story.request(LARGE, 400_000);
    expect(story.sentTo).to.deep.equal([]);
    expect(story.orders.some((order) => order.startsWith("release"))).to.equal(true);
    await story.clock.advance(70);
    story.hasMemory = true;
    await story.clock.advance(70);
    expect(story.sentTo.length).to.equal(1);
  });
});

describe("Forwarder: the end of a route's time", () => {
  const END_MS = 1_000;
  const SLACK_MS = 300;
  const cases: readonly [
    name: string,
    route: Partial<Route>,
    tokens: number,
    prepare: (story: Story) => void,
    expected: { status: number; ending: string },
  ][] = [
    ["a call that may have run", UNSAFE, 0, () => undefined, { status: 504, ending: "whole" }],
    ["a call that may repeat", SAFE, 0, () => undefined, { status: 504, ending: "whole" }],
    [
      "a stream before its first event",
      STREAM,
      5_000,
      () => undefined,
      { status: 504, ending: "whole" },
    ],
    [
      "a prompt whose memory is never free",
      STREAM,
      400_000,
      (story) => {
        story.hasMemory = false;
      },
      { status: 503, ending: "whole" },
    ],
    [
      "a prompt whose order for memory gets no answer",
      STREAM,
      400_000,
      (story) => {
        story.reserveMs = 60_000;
      },
      { status: 503, ending: "whole" },
    ],
  ];
  for (const [name, route, tokens, prepare, expected] of cases) {
    it(`answers ${name} in time`, async () => {
      const story = new Story();
      prepare(story);
      await story.request({ ...route, timeoutMs: END_MS }, tokens);
      await story.clock.advance(END_MS + SLACK_MS);
      expect(story.caller).to.include(expected);
      expect(story.transport.calls.every(({ isAborted }) => isAborted)).to.equal(true);
      expect(story.board.own).to.deep.equal([]);
    });
  }

  it("lets go of memory whose order was answered after the end", async () => {
    const story = new Story();
    story.reserveMs = 1_500;
    await story.request({ ...STREAM, timeoutMs: END_MS }, 400_000);
    await story.clock.advance(5_000);
    expect(story.sentTo).to.deep.equal([]);
    const count = (verb: string): number =>
      story.orders.filter((order) => order.startsWith(verb)).length;
    expect(count("release")).to.equal(count("reserve"));
    expect(story.orders.at(-1)).to.match(/^release/);
  });

  it("cuts a stream in the middle", async () => {
    const story = new Story();
    await story.request({ ...STREAM, timeoutMs: END_MS }, 5_000);
    story.transport.startStream();
    story.transport.sendEvents(1);
    await story.clock.advance(END_MS + SLACK_MS);
    expect(story.caller).to.include({ status: 200, ending: "cut" });
  });
});
