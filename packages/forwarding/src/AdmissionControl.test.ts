import { expect } from "chai";

import { AdmissionControl, getBusyShare, getRoomMs, getWorkMs } from "./AdmissionControl.js";
import { estimateValue } from "./lateness.js";
import { ManualClock } from "./testing/ManualClock.js";
import { ENGINE, newCandidates } from "./testing/samples.js";
import { getReadMs } from "./engineModel.js";

/** Admission control that saw a mix of short prompts and some of 130,000 tokens. */
const newAdmission = (clock = new ManualClock()): AdmissionControl => {
  const admission = new AdmissionControl(clock);
  for (const tokens of [5_000, 5_000, 5_000, 5_000, 130_000]) {
    const workMs = getWorkMs(ENGINE, { promptTokens: tokens, outputTokens: 1_300 });
    admission.record("p", estimateValue(tokens), workMs);
  }
  return admission;
};

describe("AdmissionControl", () => {
  const cases: readonly [name: string, tokens: number, busyShare: number, isAdmitted: boolean][] = [
    ["a short prompt while all upstreams are busy", 5_000, 1, true],
    ["a long prompt while most upstreams are busy", 130_000, 0.9, true],
    ["a prompt of huge work while all upstreams are busy", 900_000, 1, false],
    ["a prompt of huge work while the upstreams are idle", 900_000, 0.1, true],
  ];
  for (const [name, tokens, busyShare, isAdmitted] of cases) {
    it(`${isAdmitted ? "admits" : "rejects"} ${name}`, () => {
      const prefillMs = getReadMs(ENGINE, tokens);
      const admission = newAdmission();
      expect(admission.admits("p", estimateValue(tokens), prefillMs, busyShare)).to.equal(
        isAdmitted,
      );
    });
  }

  it("admits everything before it saw a request of the pool", () => {
    const admission = newAdmission();
    expect(admission.admits("other", 1, 1_000_000, 1)).to.equal(true);
  });

  it("follows the mix: work that was dear among short prompts is usual among long ones", async () => {
    const clock = new ManualClock();
    const admission = newAdmission(clock);
    const prefillMs = getReadMs(ENGINE, 500_000);
    expect(admission.admits("p", estimateValue(500_000), prefillMs, 0.9)).to.equal(false);
    await clock.advance(60_000);
    for (let count = 0; count < 5; count++) {
      admission.record("p", estimateValue(500_000), prefillMs);
    }
    expect(admission.admits("p", estimateValue(500_000), prefillMs, 0.9)).to.equal(true);
  });
});

describe("getBusyShare", () => {
  const cases: readonly [
    name: string,
    loads: Parameters<typeof newCandidates>[0],
    share: number,
  ][] = [
    ["idle upstreams", [{}, {}], 0],
    ["one with all slots taken and an idle one", [{ inFlight: 11 }, {}], 0.5],
    ["one with prefill beyond the objective", [{ pendingReadMs: 9_000 }], 1],
    ["one with prefill for half of the objective", [{ pendingReadMs: 500 }], 0.5],
  ];
  for (const [name, loads, share] of cases) {
    it(`is ${String(share)} for ${name}`, () => {
      expect(getBusyShare(newCandidates(loads), 1_000)).to.equal(share);
    });
  }
});

describe("getRoomMs", () => {
  it("is the mean prefill that is queued", () => {
    const candidates = newCandidates([{ pendingReadMs: 3_000 }, { pendingReadMs: 1_000 }]);
    expect(getRoomMs(candidates)).to.equal(2_000);
  });
});
