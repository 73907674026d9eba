import { EventEmitter } from "node:events";

import { expect } from "chai";

import { ProcessSignals } from "./ProcessSignals.js";

describe("ProcessSignals", () => {
  const cases: readonly {
    name: string;
    early?: readonly string[];
    late?: readonly string[];
    done: readonly string[];
  }[] = [
    {
      name: "reloads and drains",
      late: ["SIGHUP", "SIGTERM"],
      done: ["reload SIGHUP", "drain SIGTERM"],
    },
    { name: "drains when it is interrupted", late: ["SIGINT"], done: ["drain SIGINT"] },
    // A SIGHUP within a tenth of a second of the start ended the process.
    { name: "reloads later on an early signal", early: ["SIGHUP"], done: ["reload SIGHUP"] },
    { name: "drains later on an early signal", early: ["SIGINT"], done: ["drain SIGINT"] },
    {
      ...{ name: "reloads once for several early signals", early: ["SIGHUP", "SIGHUP"] },
      done: ["reload SIGHUP"],
    },
    // A second SIGTERM cut what a drain still waited for.
    { name: "drains once", late: ["SIGTERM", "SIGTERM", "SIGINT"], done: ["drain SIGTERM"] },
    {
      ...{ name: "drains once after an early signal", early: ["SIGTERM"], late: ["SIGTERM"] },
      done: ["drain SIGTERM"],
    },
    {
      ...{ name: "only drains when it was to reload before", early: ["SIGHUP", "SIGTERM"] },
      done: ["drain SIGTERM"],
    },
  ];
  for (const { name, early = [], late = [], done } of cases) {
    it(name, () => {
      const source = new EventEmitter();
      const seen: string[] = [];
      const signals = new ProcessSignals(source);
      early.forEach((signal) => source.emit(signal));
      signals.attach({
        reload: (signal) => seen.push(`reload ${signal}`),
        drain: (signal) => seen.push(`drain ${signal}`),
      });
      late.forEach((signal) => source.emit(signal));
      expect(seen).to.deep.equal(done);
    });
  }

  it("ignores SIGHUP where there is nothing to reload", () => {
    const source = new EventEmitter();
    new ProcessSignals(source).attach({ drain: () => undefined });
    expect(source.emit("SIGHUP")).to.equal(true);
  });
});
