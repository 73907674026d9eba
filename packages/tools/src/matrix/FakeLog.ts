import { parseRecords, PeerError, type LogEntry, type LogRecord } from "@lycheepulley/core";
import type { LogClient, LogExtent, LogPage } from "@lycheepulley/log";

import type { MatrixClock } from "./MatrixClock.js";

const CALL_DELAY_MS = 5;
const SLOW_CALL_DELAY_MS = 700;

/** In-memory log service with injectable faults. */
export class FakeLog {
  readonly #clock: MatrixClock;
  readonly #streams = new Map<string, LogEntry[]>();
  readonly #waiters = new Set<() => void>();
  isDown = false;
  isSlow = false;
  /** Number of appends still to take effect without an answer. */
  loseAnswers = 0;
  /** Called with the records of each append before they take effect. */
  onAppend: (records: readonly LogRecord[]) => void = () => undefined;
  /** Called with the records of each append after they took effect. */
  onAppended: (records: readonly LogRecord[]) => void = () => undefined;

  constructor(clock: MatrixClock) {
    this.#clock = clock;
  }

  /** Returns all entries of a stream. */
  getEntries(stream: string): readonly LogEntry[] {
    return this.#getStream(stream);
  }

  getStreams(): string[] {
    return [...this.#streams.keys()];
  }

  /**
   * Creates the client that one process uses; `deliver` delays answers while the process is paused.
   */
  newClient(deliver: <T>(answer: Promise<T>) => Promise<T>): LogClient {
    return {
      append: (stream, data) => deliver(this.#append(stream, data)),
      read: (stream, from, { limit, waitMs }) => deliver(this.#read(stream, from, limit, waitMs)),
      fetchExtent: (stream) => deliver(this.#fetchExtent(stream)),
    };
  }

  async #append(stream: string, data: string): Promise<number> {
    const records = parseRecords(data);
    this.onAppend(records);
    await this.#delay();
    this.#throwIfDown();
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
    this.#throwIfDown();
    const entries = this.#getStream(stream);
    if (from >= entries.length && waitMs > 0) {
      await this.#waitForEntry(waitMs);
      this.#throwIfDown();
    }
    const pageEntries = entries.slice(from, from + limit);
    return { first: 0, end: entries.length, entries: pageEntries };
  }

  async #fetchExtent(stream: string): Promise<LogExtent> {
    await this.#delay();
    this.#throwIfDown();
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

  #throwIfDown(): void {
    if (this.isDown) {
      throw new PeerError("log", "down", { sent: true, status: 503 });
    }
  }

  #delay(): Promise<void> {
    const ms = this.isSlow ? SLOW_CALL_DELAY_MS : CALL_DELAY_MS;
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
