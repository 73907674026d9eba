import {
  compactFate,
  expandFate,
  FateState,
  type Clock,
  type CompactFate,
} from "@lycheepulley/core";
import type { LogWriter } from "@lycheepulley/log";
import { expect } from "chai";

import { FateRecorder } from "./FateRecorder.js";

const REQUESTS_PER_S = 10;
const SECONDS = 20;
const BYTES_PER_S = 1_000;
/** Estimated size of a record's fields besides its body. */
const ENVELOPE_BYTES = 120;

class ManualClock implements Clock {
  nowMs = 0;
  now = (): number => this.nowMs;
  wall = (): number => 1_800_000_000_000 + this.nowMs;
  setTimer = (): (() => void) => () => undefined;
}

describe("FateRecorder", () => {
  it("costs under 1 KB/s on the log at 10 requests a second", async () => {
    const clock = new ManualClock();
    const bodies: unknown[] = [];
    const writer = {
      submit: ({ body }: { body: unknown }) => {
        bodies.push(body);
        return { appended: Promise.resolve() };
      },
    } as unknown as LogWriter;
    const recorder = new FateRecorder({ process: "poblado-1", incarnation: 1, clock, writer });
    for (let s = 0; s < SECONDS; s += 1) {
      for (let i = 0; i < REQUESTS_PER_S; i += 1) {
        const trace = recorder.begin("nutibara");
        trace.setClass("dialogue", 2_000);
        for (const step of ["reserve", "connect", "send", "last_chunk"]) {
          clock.nowMs += 25;
          trace.mark(step, "traductor-12");
        }
        trace.end(FateState.Finished);
      }
      await recorder.flush();
    }
    const bytes = bodies.reduce<number>(
      (sum, body) => sum + JSON.stringify(body).length + ENVELOPE_BYTES,
      0,
    );
    expect(bytes / SECONDS).to.be.below(BYTES_PER_S);
  });

  it("ends a request only once", () => {
    const clock = new ManualClock();
    const submit = (): unknown => ({ appended: Promise.resolve() });
    const writer = { submit } as unknown as LogWriter;
    const recorder = new FateRecorder({ process: "p", incarnation: 1, clock, writer });
    const trace = recorder.begin("c");
    trace.end(FateState.NotRun, "first");
    trace.end(FateState.Finished);
    expect(recorder.getFate(trace.requestId)).to.include({ state: "not_run", reason: "first" });
    expect(recorder.running).to.equal(0);
  });

  it("restores a fate from the log, except its customer and fractions of milliseconds", () => {
    const fate = {
      ...{ requestId: "req_p.1.2.3", state: FateState.FailedMayHaveRun, className: "dialogue" },
      ...{ customer: "c", acceptedMs: 5, endedAfterMs: 70, reason: "stream at e1: reset" },
      steps: [
        ["send", 12.4, "e1"],
        ["reply", 20, "a@b: 40% of x y"],
      ] as [string, number, string][],
    };
    const line = JSON.parse(JSON.stringify(compactFate(fate))) as CompactFate;
    expect(expandFate("req_p.1.2.3", 5, line)).to.deep.equal({
      ...fate,
      customer: "",
      steps: [
        ["send", 12, "e1"],
        ["reply", 20, "a@b: 40% of x y"],
      ],
    });
  });
});
