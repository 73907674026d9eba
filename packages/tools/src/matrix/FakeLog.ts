import { parseRecords, PeerError, type LogEntry, type LogRecord } from "@lycheepulley/core";
import type { LogClient, LogExtent, LogPage } from "@lycheepulley/log";

import type { MatrixClock } from "./MatrixClock.js";

const APPEND_MS = 5;
const SLOW_MS = 700;

/** Log service in memory, with the faults of the brief. */
export class FakeLog {
  readonly #clock: MatrixClock;
  readonly #streams = new Map<string, LogEntry[]>();
  readonly #waiters = new Set<() => void>();
  isDown = false;
  isSlow = false;
  loseAnswers = 0;
  /** Sees records right before they take effect. */
  onAppend: (records: readonly LogRecord[]) => void = () => undefined;
  /** Sees records right after they took effect. */
  onAppended: (records: readonly LogRecord[]) => void = () => undefined;

  constructor(clock: MatrixClock) {
    this.#clock = clock;
  }

  /** Every entry of a stream. */
  getEntries(stream: string): readonly LogEntry[] {
    return this.#getStream(stream);
  }

  getStreams(): string[] {
    return [...this.#streams.keys()];
  }

  /** Client of one process; its answers pass through `gate`. */
  newClient(gate: <T>(work: Promise<T>) => Promise<T>): LogClient {
    return {
      append: (stream, data) => gate(this.#append(stream, data)),
      read: (stream, from, { limit, waitMs }) => gate(this.#read(stream, from, limit, waitMs)),
      fetchExtent: (stream) => gate(this.#fetchExtent(stream)),
    };
  }

  async #append(stream: string, data: string): Promise<number> {
    const records = parseRecords(data);
    this.onAppend(records);
    await this.#delay();
    this.#checkUp();
    const entries = this.#getStream(stream);
    const offset = entries.length;
    entries.push({ offset, timeMs: this.#clock.wall(), records });
    this.onAppended(records);
    [...this.#waiters].forEach((wake) => {
      wake();
    });
    if (this.loseAnswers > 0) {
      this.loseAnswers -= 1;
      throw new PeerError("log", "answer lost", { sent: true });
    }
    await this.#delay();
    return offset;
  }

  async #read(stream: string, from: number, limit: number, waitMs: number): Promise<LogPage> {
    await this.#delay();
    this.#checkUp();
    const entries = this.#getStream(stream);
    if (from >= entries.length && waitMs > 0) {
      await this.#waitForEntry(waitMs);
      this.#checkUp();
    }
    const page = entries.slice(from, from + limit);
    return { first: 0, end: entries.length, entries: page };
  }

  async #fetchExtent(stream: string): Promise<LogExtent> {
    await this.#delay();
    this.#checkUp();
    return { first: 0, end: this.#getStream(stream).length };
  }

  #waitForEntry(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        cancel();
        this.#waiters.delete(wake);
        resolve();
      };
      const cancel = this.#clock.setTimer(wake, waitMs);
      this.#waiters.add(wake);
    });
  }

  #checkUp(): void {
    if (this.isDown) {
      throw new PeerError("log", "down", { sent: true, status: 503 });
    }
  }

  #delay(): Promise<void> {
    const ms = this.isSlow ? SLOW_MS : APPEND_MS;
    return new Promise((resolve) => {
      this.#clock.setTimer(resolve, ms);
    });
  }

  #getStream(name: string): LogEntry[] {
    const stream = this.#streams.get(name) ?? [];
    this.#streams.set(name, stream);
    return stream;
  }
}
