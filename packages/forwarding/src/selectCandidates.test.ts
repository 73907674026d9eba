import { SeededRandom } from "@lycheepulley/core";
import { expect } from "chai";

import { newUpstreamLoad } from "./load.js";
import { selectCandidates } from "./selectCandidates.js";
import { newUpstream } from "./testing/samples.js";

describe("selectCandidates", () => {
  const cases: readonly {
    name: string;
    upstreams: number;
    /** Requests that peers may have sent to the whole pool without this process knowing yet. */
    unseen: number;
    isSmall: boolean;
    isAsked?: boolean;
    count: number;
  }[] = [
    { name: "a small pool", upstreams: 16, unseen: 0.2, isSmall: true, count: 16 },
    {
      name: "a large pool without peers' requests",
      upstreams: 54,
      unseen: 0,
      isSmall: true,
      count: 24,
    },
    { name: "a large pool with few of them", upstreams: 54, unseen: 1, isSmall: true, count: 24 },
    { name: "a large pool with many of them", upstreams: 54, unseen: 9, isSmall: true, count: 3 },
    { name: "a larger pool with as many", upstreams: 112, unseen: 9, isSmall: true, count: 7 },
    { name: "more of them than upstreams", upstreams: 54, unseen: 500, isSmall: true, count: 3 },
    { name: "a small pool with many of them", upstreams: 16, unseen: 9, isSmall: true, count: 3 },
    {
      name: "fewer upstreams than the least sample",
      upstreams: 2,
      unseen: 9,
      isSmall: true,
      count: 2,
    },
    {
      ...{ name: "a large pool whose loads are asked for", upstreams: 54, unseen: 0 },
      ...{ isSmall: true, isAsked: true, count: 8 },
    },
    {
      ...{ name: "a prompt for several whose loads are asked for", upstreams: 54, unseen: 0 },
      ...{ isSmall: false, isAsked: true, count: 24 },
    },
    { name: "a prompt for several upstreams", upstreams: 54, unseen: 9, isSmall: false, count: 24 },
  ];
  for (const { name, upstreams, unseen, isSmall, isAsked = false, count } of cases) {
    it(`compares ${String(count)} upstreams: ${name}`, () => {
      const pool = Array.from({ length: upstreams }, (_, index) =>
        newUpstream(`u${String(index)}`),
      );
      const loads = new Map(
        pool.map(({ id }) => [id, { ...newUpstreamLoad(), unseen: unseen / upstreams }]),
      );
      const random = new SeededRandom(1);
      expect(selectCandidates(pool, loads, { isSmall, isAsked, random })).to.have.length(count);
    });
  }
});
