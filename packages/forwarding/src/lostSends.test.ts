import { expect } from "chai";

import type { Route, Upstream } from "./fleetConfig.js";
import { endAnswer } from "./testing/FakeUpstreams.js";
import { ForwarderHarness, SAFE, STREAM, UNSAFE } from "./testing/ForwarderHarness.js";

/** More than one upstream holds. */
const LONG_PROMPT = 300_000;
/** Bound of the platform on memory after the loss of its worker, less the time until the list shows the loss. */
const FREE_MS = 1_500;
/** Longer than any verdict takes. */
const LATER_MS = 3_000;
const NEVER_REPEATED: Partial<Route> = { ...STREAM, maxAttempts: 1 };

describe("a send whose upstream is lost", () => {
  let harness: ForwarderHarness;
  let listVersion = 1;

  const start = async (
    upstreams: readonly string[],
    route: Partial<Route>,
    promptTokens = LONG_PROMPT,
  ): Promise<Upstream> => {
    harness = new ForwarderHarness([...upstreams], { promisesRoom: true });
    listVersion = 1;
    await harness.request({ targetMs: 3_000, timeoutMs: 15_000, ...route }, promptTokens);
    const upstream = harness.view.upstreams.get(harness.sentTo[0] ?? "");
    if (!upstream) {
      throw new Error("the request wasn't sent");
    }
    return upstream;
  };

  /** Puts a list in force that has these upstreams in place of one. */
  const replace = (gone: Upstream, ...by: Upstream[]): void => {
    const others = [...harness.view.upstreams.values()].filter(({ id }) => id !== gone.id);
    listVersion += 1;
    const list = { version: listVersion, upstreams: [...others, ...by] };
    harness.view.applyUpstreams(list, harness.clock.now(), new Set());
    harness.losses.onList();
  };

  const isMemoryFree = (): boolean => {
    const open = new Set<string>();
    for (const call of harness.memoryCalls) {
      const [op = "", , id = ""] = call.split(" ");
      if (op === "reserve") {
        open.add(id);
      } else {
        open.delete(id);
      }
    }
    return open.size === 0;
  };

  const SIX = ["u0", "u1", "u2", "u3", "u4", "u5"];

  describe("in prefill", () => {
    const rows: readonly [
      name: string,
      upstreams: readonly string[],
      route: Partial<Route>,
      expected: { sends: number; status: number | undefined },
    ][] = [
      ["goes on at another one", SIX, STREAM, { sends: 2, status: undefined }],
      // Nobody could take over, and the memory was renewed until the request's deadline.
      [
        "is told to its caller where no other can hold it",
        ["u0", "u1"],
        STREAM,
        { sends: 1, status: 504 },
      ],
      [
        "is told to its caller where it may not be repeated",
        SIX,
        NEVER_REPEATED,
        { sends: 1, status: 502 },
      ],
    ];
    for (const [name, upstreams, route, expected] of rows) {
      it(`frees its memory, and ${name}`, async () => {
        const upstream = await start(upstreams, route);
        harness.isUpstreamAlive = false;
        replace(upstream);
        await harness.clock.advance(FREE_MS);
        const { sentTo, transport, caller } = harness;
        expect(transport.calls[0]?.isAborted).to.equal(true);
        expect({ sends: sentTo.length, status: caller.status }).to.deep.equal(expected);
        expect(harness.memoryCalls.filter((call) => call.includes("-0-")).at(-1)).to.match(
          /^release/,
        );
        expect(isMemoryFree()).to.equal(expected.status !== undefined);
      });
    }
  });

  const verdicts: readonly [
    name: string,
    isLost: boolean,
    play: (upstream: Upstream) => Promise<void> | void,
  ][] = [
    [
      "is silent and has left the list",
      true,
      (upstream) => {
        harness.isUpstreamAlive = false;
        replace(upstream);
      },
    ],
    [
      "started again under its id",
      true,
      (upstream) => {
        replace(upstream, { ...upstream, bornMs: 5 });
      },
    ],
    [
      "has another one at its address",
      true,
      (upstream) => {
        replace(upstream, upstream, { ...upstream, id: "next" });
      },
    ],
    [
      "is silent here and lost by a peer's word",
      true,
      ({ id }) => {
        harness.isUpstreamAlive = false;
        harness.losses.recordPeer(id, "n1");
      },
    ],
    [
      "has left the list, answers for a while and is silent then",
      true,
      async (upstream) => {
        replace(upstream);
        await harness.clock.advance(LATER_MS);
        expect(harness.transport.calls[0]?.isAborted).to.equal(false);
        harness.isUpstreamAlive = false;
      },
    ],
    // A worker that is cut off from one process alone stays listed by its own heartbeats.
    [
      "is silent to this process alone",
      false,
      (upstream) => {
        harness.isUpstreamAlive = false;
        replace(upstream, upstream);
      },
    ],
    // Workers that leave without a word serve on for seconds after they have left the list.
    [
      "has left the list and answers",
      false,
      (upstream) => {
        replace(upstream);
      },
    ],
    [
      "has left the list and misses one probe",
      false,
      async (upstream) => {
        harness.isUpstreamAlive = false;
        replace(upstream);
        await harness.clock.advance(150);
        harness.isUpstreamAlive = true;
      },
    ],
    [
      "is lost by a peer's word and answers here",
      false,
      ({ id }) => {
        harness.losses.recordPeer(id, "n1");
      },
    ],
    [
      "misses probes and comes back to the list",
      false,
      async (upstream) => {
        harness.isUpstreamAlive = false;
        replace(upstream);
        await harness.clock.advance(150);
        replace(upstream, upstream);
      },
    ],
    [
      "took the address of one that was listed before",
      false,
      (upstream) => {
        replace(upstream, upstream);
      },
    ],
  ];
  for (const [name, isLost, play] of verdicts) {
    it(`is ${isLost ? "ended" : "awaited"} when the upstream ${name}`, async () => {
      const upstream = await start(SIX, NEVER_REPEATED);
      await play(upstream);
      await harness.clock.advance(LATER_MS);
      expect(harness.transport.calls[0]?.isAborted).to.equal(isLost);
      expect(isMemoryFree()).to.equal(isLost);
    });
  }

  it("is awaited while events arrive from an upstream that answers no probe", async () => {
    const upstream = await start(SIX, NEVER_REPEATED);
    harness.isUpstreamAlive = false;
    replace(upstream);
    harness.transport.startStream();
    for (let event = 1; event <= 30; event += 1) {
      harness.transport.sendEvents(event);
      await harness.clock.advance(90);
    }
    endAnswer(harness.transport.last);
    await harness.settle();
    expect(harness.caller.ending).to.equal("whole");
  });

  // The caller can resume a stream that is cut, and waited for its own patience instead.
  it("cuts a stream that may not go on elsewhere", async () => {
    const upstream = await start(SIX, NEVER_REPEATED);
    harness.transport.startStream();
    harness.transport.sendEvents(1);
    await harness.clock.advance(100);
    harness.isUpstreamAlive = false;
    replace(upstream);
    await harness.clock.advance(FREE_MS);
    expect(harness.caller.ending).to.equal("cut");
    expect(isMemoryFree()).to.equal(true);
  });

  // The replaced send kept its memory until the one that took over had its first event.
  it("is ended beside the one that took over, when that one's upstream is lost as well", async () => {
    const first = await start(SIX, { ...STREAM, targetMs: 100 });
    harness.isUpstreamAlive = false;
    await harness.clock.advance(20_000);
    const second = harness.view.upstreams.get(harness.sentTo[1] ?? "");
    expect(harness.sentTo).to.have.length.above(0);
    replace(first);
    await harness.clock.advance(FREE_MS);
    if (second) {
      replace(second);
      await harness.clock.advance(FREE_MS);
    }
    expect(harness.transport.calls.map(({ isAborted }) => isAborted)).not.to.include(false);
  });

  const calls: readonly [name: string, route: Partial<Route>, sends: number][] = [
    ["is repeated where it may be", SAFE, 2],
    ["is told to its caller at once where it may have run", UNSAFE, 1],
  ];
  for (const [name, route, sends] of calls) {
    it(`${name}, as a plain call`, async () => {
      const upstream = await start(SIX, { ...route, targetMs: 5_000, timeoutMs: 15_000 }, 0);
      harness.isUpstreamAlive = false;
      replace(upstream);
      await harness.clock.advance(FREE_MS);
      expect(harness.sentTo).to.have.length(sends);
      expect(harness.caller.status).to.equal(sends === 1 ? 502 : undefined);
    });
  }

  // Two more probes took the memory past its bound, since the list is already late.
  it("is ended with the list that lacks its upstream, when that was silent before", async () => {
    const upstream = await start(SIX, NEVER_REPEATED);
    harness.isUpstreamAlive = false;
    await harness.clock.advance(LATER_MS);
    expect(harness.transport.calls[0]?.isAborted).to.equal(false);
    replace(upstream);
    await harness.settle();
    expect(harness.transport.calls[0]?.isAborted).to.equal(true);
    expect(isMemoryFree()).to.equal(true);
  });

  it("is awaited when its upstream was silent for a while and answers again", async () => {
    const upstream = await start(SIX, NEVER_REPEATED);
    harness.isUpstreamAlive = false;
    await harness.clock.advance(LATER_MS);
    harness.isUpstreamAlive = true;
    await harness.clock.advance(LATER_MS);
    replace(upstream);
    await harness.clock.advance(LATER_MS);
    expect(harness.transport.calls[0]?.isAborted).to.equal(false);
  });

  const probed: readonly [name: string, promptTokens: number, isProbed: boolean][] = [
    ["with memory at others", LONG_PROMPT, true],
    ["without memory at others", 1_000, false],
  ];
  for (const [name, promptTokens, isProbed] of probed) {
    it(`costs ${isProbed ? "some probes" : "no probe"} while it is silent ${name}`, async () => {
      await start(SIX, NEVER_REPEATED, promptTokens);
      await harness.clock.advance(LATER_MS);
      expect(harness.probes).to.be.within(isProbed ? 1 : 0, isProbed ? 4 : 0);
    });
  }

  it("costs no probe while its events arrive", async () => {
    await start(SIX, NEVER_REPEATED);
    harness.transport.startStream();
    for (let event = 1; event <= 30; event += 1) {
      harness.transport.sendEvents(event);
      await harness.clock.advance(90);
    }
    expect(harness.probes).to.equal(0);
  });

  it("is told to the peers once, with the start that is lost", async () => {
    const upstream = await start(SIX, NEVER_REPEATED);
    harness.isUpstreamAlive = false;
    replace(upstream);
    replace(upstream);
    await harness.clock.advance(LATER_MS);
    expect(harness.toldLost).to.deep.equal([upstream.id]);
  });

  it("counts as lost under its request", async () => {
    const upstream = await start(SIX, NEVER_REPEATED);
    harness.isUpstreamAlive = false;
    replace(upstream);
    await harness.clock.advance(FREE_MS);
    expect(harness.guard.evidence.countLosses("f")).to.equal(1);
  });
});
