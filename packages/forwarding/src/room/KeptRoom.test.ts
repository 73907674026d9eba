import { expect } from "chai";

import { LoadTracker } from "../LoadTracker.js";
import { ManualClock } from "../testing/ManualClock.js";
import { newItem } from "../testing/samples.js";
import { KeptRoom } from "./KeptRoom.js";

const MAX_DATAGRAM_BYTES = 60_000;

describe("load: callers that are told to return", () => {
  const newKept = (): { clock: ManualClock; loadTracker: LoadTracker; kept: KeptRoom } => {
    const clock = new ManualClock();
    const loadTracker = new LoadTracker({ clock, onOwnChange: () => undefined });
    return { clock, loadTracker, kept: new KeptRoom({ clock, loadTracker }) };
  };

  it("fit into one message, however many come in a storm", () => {
    const { loadTracker, kept } = newKept();
    for (let caller = 0; caller < 1_000; caller++) {
      const helpers = Array.from({ length: 16 }, (_, at) => `upstream-${String(at)}`);
      kept.keep(newItem(`return-${String(caller).padStart(32, "0")}`, { helpers }), 4_000);
    }
    expect(JSON.stringify(loadTracker.own).length).to.be.below(MAX_DATAGRAM_BYTES);
  });

  it("leave their room to others once they are placed, or don't come", async () => {
    const { clock, loadTracker, kept } = newKept();
    kept.keep(newItem("placed"), 4_000);
    kept.keep(newItem("away"), 4_000);
    kept.end("placed");
    expect(loadTracker.own.map(({ id }) => id)).to.deep.equal(["away"]);
    await clock.advance(4_000);
    expect(loadTracker.own).to.deep.equal([]);
    expect(kept.keep(newItem("placed"), 4_000)).to.equal(true);
  });
});
