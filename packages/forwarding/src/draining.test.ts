import { expect } from "chai";

import {
  ADDRESS_CACHE_MS,
  ADDRESS_TTL_MS,
  canFinishWhileDraining,
  LISTENER_CLOSE_DELAY_MS,
} from "./draining.js";
import { ENGINE, newRoute } from "./testing/samples.js";

describe("canFinishWhileDraining", () => {
  const stream = newRoute({ isStream: true, isResumable: true });
  const call = newRoute({ targetMs: 150, timeoutMs: 1_000 });
  const cases: readonly [
    name: string,
    route: typeof stream,
    outputTokens: number,
    sinceMs: number,
    leftMs: number,
    isAccepted: boolean,
  ][] = [
    ["a stream while callers may still use the address", stream, 1_376, 2_500, 4_800, true],
    ["the last stream that is taken in any case", stream, 13_760, 2_800, 4_500, true],
    ["the first stream that has to end in time", stream, 13_760, 2_801, 4_499, false],
    ["a short stream with time to spare", stream, 430, 4_000, 3_300, true],
    ["a stream that would be cut", stream, 1_376, 6_200, 1_100, false],
    ["a stream with too little time to spare", stream, 1_376, 4_000, 3_300, false],
    ["a call with time to spare", call, 0, 6_200, 1_100, true],
    ["a call just before the exit", call, 0, 7_000, 300, false],
  ];
  for (const [name, route, outputTokens, sinceMs, leftMs, isAccepted] of cases) {
    it(`${isAccepted ? "accepts" : "rejects"} ${name}`, () => {
      const engine = route.isStream ? ENGINE : undefined;
      const options = { route, head: { outputTokens }, engine, sinceMs, leftMs };
      expect(canFinishWhileDraining(options)).to.equal(isAccepted);
    });
  }
});

describe("the time for which a draining process can be reached", () => {
  // Guards against two constants of one name that drift apart.
  it("covers callers that keep an address for three times its time", () => {
    expect(ADDRESS_CACHE_MS).to.equal(3 * ADDRESS_TTL_MS);
    expect(LISTENER_CLOSE_DELAY_MS).to.equal(3_200);
  });
});
