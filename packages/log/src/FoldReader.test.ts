import {
  RecordKind,
  RegisterFold,
  SystemClock,
  type LogEntry,
  type LogRecord,
} from "@lycheepulley/core";
import { expect } from "chai";

import { FoldReader } from "./FoldReader.js";
import type { LogClient, LogPage } from "./LogClient.js";

/** In-memory log whose oldest entries can be trimmed. */
class TrimmedLog implements LogClient {
  readonly entries: LogEntry[] = [];
  first = 0;

  add(record: Omit<LogRecord, "v" | "writer" | "seq">): void {
    const offset = this.entries.length;
    const full = { v: 1, writer: "w", seq: offset + 1, ...record };
    this.entries.push({ offset, timeMs: offset, records: [full] });
  }

  append(): Promise<number> {
    return Promise.reject(new Error("read only"));
  }

  async read(_stream: string, from: number, options: { limit: number }): Promise<LogPage> {
    await new Promise((resolve) => setImmediate(resolve));
    const start = Math.max(from, this.first);
    const entries = this.entries.slice(start, start + options.limit);
    return { first: this.first, end: this.entries.length, entries };
  }

  fetchExtent(): Promise<{ first: number; end: number }> {
    return Promise.resolve({ first: this.first, end: this.entries.length });
  }
}

const addConfig = (log: TrimmedLog, follows: number): void => {
  log.add({ kind: RecordKind.Config, key: "fleet", follows, body: follows + 1 });
};

const addSnapshot = (log: TrimmedLog): void => {
  const fold = new RegisterFold();
  log.entries.forEach((entry) => fold.applyEntry(entry));
  const body = fold.getSnapshot();
  log.add({ kind: RecordKind.Snapshot, key: "control", follows: null, body });
};

const newReader = (log: TrimmedLog, fold: RegisterFold): FoldReader =>
  new FoldReader({ log, stream: "control", clock: new SystemClock(), fold });

const CASES = [
  { name: "starts from a snapshot when the first entries were trimmed", known: 0, trimTo: 5 },
  {
    name: "reloads from a snapshot when the entries after its offset were trimmed",
    known: 2,
    trimTo: 5,
  },
  { name: "continues from its state when nothing was trimmed", known: 2, trimTo: 0 },
];

describe("FoldReader", () => {
  for (const { name, known, trimTo } of CASES) {
    it(name, async () => {
      const log = new TrimmedLog();
      [0, 1, 2, 3].forEach((follows) => {
        addConfig(log, follows);
      });
      const fold = new RegisterFold();
      log.entries.slice(0, known).forEach((entry) => fold.applyEntry(entry));
      addSnapshot(log);
      addConfig(log, 4);
      addSnapshot(log);
      addConfig(log, 5);
      log.first = trimTo;
      const reader = newReader(log, fold);
      reader.start();
      await reader.waitCaughtUp();
      await reader.stop();
      expect(fold.getVersion(RecordKind.Config, "fleet")).to.equal(6);
      expect(fold.getRegister(RecordKind.Config, "fleet")?.body).to.equal(6);
    });
  }

  it("ignores a peer's older snapshot", () => {
    const log = new TrimmedLog();
    addConfig(log, 0);
    addConfig(log, 1);
    const old = new RegisterFold();
    log.entries.slice(0, 1).forEach((entry) => old.applyEntry(entry));
    const fold = new RegisterFold();
    log.entries.forEach((entry) => fold.applyEntry(entry));
    expect(newReader(log, fold).applyPeerSnapshot(old.getSnapshot())).to.equal(false);
    expect(fold.getVersion(RecordKind.Config, "fleet")).to.equal(2);
  });
});
