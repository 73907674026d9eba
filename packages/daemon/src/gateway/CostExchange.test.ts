import { SeededRandom, type Clock } from "@lycheepulley/core";
import { CostKind, PeerState, type PeerIdentity } from "@lycheepulley/forwarding";
import { expect } from "chai";

import { CostExchange } from "./CostExchange.js";

const KEY = { pool: "p", route: "r", customer: undefined };
const MAX_DATAGRAM_BYTES = 8_000;

/** Clock whose one timer a test fires. */
class TickClock implements Clock {
  tick: () => void = () => undefined;
  now(): number {
    return 0;
  }
  wall(): number {
    return 0;
  }
  setTimer(fn: () => void): () => void {
    this.tick = fn;
    return () => undefined;
  }
}

interface Sent {
  readonly params: unknown;
  readonly hosts: readonly string[];
}

const newPeer = (host: string, failureDomain: string): PeerIdentity => ({
  ...{ host, failureDomain, incarnation: 1, capacity: 1, callerAddress: "a:1" },
  ...{ state: PeerState.Live, revision: 1, listVersion: 1, listDigest: "d", reads: {}, beatMs: 1 },
});

const newProcess = (
  learnsCosts = true,
): {
  clock: TickClock;
  exchange: CostExchange;
  sent: Sent[];
  receive: (params: unknown) => void;
} => {
  const clock = new TickClock();
  const sent: Sent[] = [];
  let receive: (params: unknown) => void = () => undefined;
  const exchange = new CostExchange({
    ...{ clock, random: new SeededRandom(1), failureDomain: "near", learnsCosts },
    channel: {
      handle: (_method, parser, fn) => {
        receive = (params): void => {
          const read = parser.safeParse(JSON.parse(JSON.stringify(params)));
          if (read.success) {
            fn(read.data, "h");
          }
        };
      },
      notify: (_method, params, hosts) => {
        sent.push({ params, hosts });
      },
    },
    peers: { getLive: () => [newPeer("n1", "near"), newPeer("n2", "near"), newPeer("f1", "far")] },
  });
  exchange.start();
  return {
    clock,
    exchange,
    sent,
    receive: (params): void => {
      receive(params);
    },
  };
};

/** Has a process see calls of 60 ms, and upstreams at half speed. */
const teach = (
  { exchange }: Pick<ReturnType<typeof newProcess>, "exchange">,
  upstreams = 1,
): void => {
  for (let at = 0; at < 20; at++) {
    exchange.book?.record(CostKind.Call, KEY, 60);
  }
  for (let at = 0; at < 4 * upstreams; at++) {
    exchange.book?.paces.record(`u${String(at % upstreams)}`, 2, 0);
  }
};

describe("CostExchange", () => {
  it("tells a process that has started all that is known", () => {
    const [known, started] = [newProcess(), newProcess()];
    teach(known);
    known.exchange.inform("h");
    known.sent.forEach(({ params }) => {
      started.receive(params);
    });
    expect(started.exchange.book?.estimate(CostKind.Call, KEY)).to.be.within(55, 65);
    expect(started.exchange.book?.paces.get("u0", 0)).to.be.above(1.5);
  });

  it("tells paces to two peers of its failure domain, in each fourth round to any", () => {
    const process = newProcess();
    teach(process, 60);
    for (let round = 0; round < 16; round++) {
      process.clock.tick();
    }
    const toFar = process.sent.filter(({ hosts }) => hosts.includes("f1"));
    expect(process.sent).to.have.length(16);
    expect(toFar.length).to.be.within(1, 4);
    process.sent.forEach(({ params, hosts }) => {
      expect(hosts).to.have.length(2);
      expect(JSON.stringify(params).length).to.be.below(MAX_DATAGRAM_BYTES);
    });
  });

  it("says nothing while nothing is known", () => {
    const process = newProcess();
    process.clock.tick();
    process.exchange.inform("h");
    expect(process.sent).to.deep.equal([]);
  });

  it("learns and tells nothing where it is turned off", () => {
    const process = newProcess(false);
    process.clock.tick();
    process.exchange.inform("h");
    expect(process.exchange.book).to.equal(undefined);
    expect(process.sent).to.deep.equal([]);
  });

  for (const [name, params] of [
    ["another shape", { costs: {} }],
    ["a pace of nothing", { costs: [], paces: [{ upstream: "u0", pace: 0, weight: 1 }] }],
    [
      "too many paces",
      { costs: [], paces: Array(41).fill({ upstream: "u0", pace: 2, weight: 9 }) },
    ],
  ] as const) {
    it(`leaves out a message with ${name}`, () => {
      const process = newProcess();
      process.receive(params);
      expect(process.exchange.book?.paces.get("u0", 0)).to.equal(1);
    });
  }
});
