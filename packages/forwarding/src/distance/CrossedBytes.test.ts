import { expect } from "chai";

import { FRAMED_END } from "../testing/FakeUpstreams.js";
import { newUpstream } from "../testing/samples.js";
import type { CallObserver, UpstreamTransport } from "../types.js";
import { CrossedBytes, CrossingCause } from "./CrossedBytes.js";

const NONE = { prompts: 0, answers: 0, orders: 0, peers: 0 };

const observer: CallObserver = {
  onHead: () => undefined,
  onData: () => undefined,
  onEnd: () => undefined,
  onError: () => undefined,
};

/** Answers each call with a head of 4 bytes and a body of 10. */
const transport: UpstreamTransport = {
  open: (_req, { onHead, onData, onEnd }) => {
    onHead({ status: 200, headers: ["a", "bcd"] });
    onData(Buffer.alloc(10));
    onEnd(FRAMED_END);
    return { pause: () => undefined, resume: () => undefined, abort: () => undefined };
  },
};

/** Counts after a call with a head of 3 bytes and a body of 100 to an upstream of this domain. */
const call = (failureDomain: string, port: number, isOrder: boolean): Record<string, number> => {
  const crossed = new CrossedBytes("a");
  const { Prompts, Answers, Orders } = CrossingCause;
  const causes = isOrder
    ? { sent: Orders, received: Orders }
    : { sent: Prompts, received: Answers };
  const upstreams = [newUpstream("u0", { failureDomain, port: 7 })];
  crossed
    .watch(transport, causes, () => upstreams)
    .open(
      {
        ...{ host: "127.0.0.1", port, method: "POST", path: "/", headers: ["x", "yz"] },
        ...{ body: Buffer.alloc(100), connectTimeoutMs: 1 },
      },
      observer,
    );
  return crossed.counts;
};

describe("CrossedBytes", () => {
  const cases: readonly [
    name: string,
    domain: string,
    port: number,
    isOrder: boolean,
    counts: Record<string, number>,
  ][] = [
    ["a prompt to the own domain", "a", 7, false, NONE],
    ["a prompt across", "b", 7, false, { ...NONE, prompts: 103, answers: 14 }],
    ["an order across", "b", 7, true, { ...NONE, orders: 117 }],
    ["a call to an upstream that isn't listed", "b", 8, false, NONE],
  ];
  for (const [name, domain, port, isOrder, counts] of cases) {
    it(`counts ${name}`, () => {
      expect(call(domain, port, isOrder)).to.deep.equal(counts);
    });
  }

  it("counts messages to peers of other domains, and not those of unknown ones", () => {
    const crossed = new CrossedBytes("a");
    for (const domain of ["a", "b", "", undefined]) {
      crossed.add(CrossingCause.Peers, domain, 5);
    }
    expect(crossed.counts).to.deep.equal({ ...NONE, peers: 5 });
  });
});
