import { expect } from "chai";

import { TrackedEngine, type TrackedGrant } from "./TrackedEngine.js";

const newGrant = (id: string, change: Partial<TrackedGrant>): TrackedGrant => ({
  ...{ id, engine: "e", promptTokens: 1_000, outputTokens: 10, fingerprint: id, isAlone: false },
  ...{ hasFirstToken: false, holder: "p/1", renewedMs: 0, remainingPrefillTokens: 1_000 },
  isBroken: false,
  ...change,
});

describe("TrackedEngine", () => {
  // Guards against a view in which short prompts beside a long prefill don't show.
  it("tells the backlog of short prompts from that of long ones", () => {
    const engine = new TrackedEngine({ name: "e", failureDomain: "a" });
    engine.setCapacity({ kvTokens: 400_000, maxStreams: 16, prefillTokensPerS: 1_000 });
    engine.add(newGrant("long", { promptTokens: 90_000, remainingPrefillTokens: 90_000 }), 0);
    engine.add(newGrant("short", {}), 0);
    engine.add(newGrant("started", { hasFirstToken: true }), 0);
    expect(engine.getView(0, 16_000)).to.include({
      ...{ prefillBacklogTokens: 92_000, shortBacklogTokens: 1_000, longPrefills: 1 },
    });
  });
});
