import { Duplex } from "node:stream";

import type { Clock } from "@lycheepulley/core";

import type { ReadTurns } from "./ReadTurns.js";

/** Bytes that are handed on at a time. The parser can't be stopped within them, whatever they cost. */
const FIRST_SLICE_BYTES = 1_024;
const MIN_SLICE_BYTES = 256;
const MAX_SLICE_BYTES = 16_384;
/** A slice that takes longer is followed by one of half its size, and one that takes less by one of twice its size. */
const SLOW_SLICE_MS = 0.25;
const FAST_SLICE_MS = 0.06;
/** Work for one connection in a turn of the event loop; more waits for a later turn. */
const TURN_MS = 0.5;

type WriteCallback = (err?: Error | null) => void;

/**
 * A connection whose bytes are handed on in slices, and no more in a turn of the event loop than others can wait for:
 * one read of a socket may hold ten thousand tiny pieces.
 */
export class PacedConnection extends Duplex {
  readonly #connection: Duplex;
  readonly #turns: ReadTurns;
  readonly #clock: Clock;
  readonly #onSlice: () => void;
  /** Bytes that were read and not handed on. */
  #rest: Buffer | undefined;
  #sliceBytes = FIRST_SLICE_BYTES;
  /** Work since the last turn that was awaited. */
  #turnMs = 0;
  #isWaiting = false;
  #isHandingOn = false;
  /** The reader takes no more bytes now. */
  #isFull = false;
  /** What follows the bytes that were read. */
  readonly #endings: (() => void)[] = [];

  /** `onSlice` is called behind each slice, before it is known what that has cost. */
  constructor(
    connection: Duplex,
    { turns, clock, onSlice }: { turns: ReadTurns; clock: Clock; onSlice: () => void },
  ) {
    // Full as soon as a slice isn't taken at once.
    super({ readableHighWaterMark: 1 });
    this.#connection = connection;
    this.#turns = turns;
    this.#clock = clock;
    this.#onSlice = onSlice;
    // An error may come before the connection has its user.
    this.on("error", () => undefined);
    connection.on("data", this.#onRead);
    connection.on("end", () => {
      this.#endWith(() => this.push(null));
    });
    connection.on("error", (err) => {
      this.#takeUnread();
      this.#endWith(() => this.destroy(err));
    });
    connection.on("close", () => {
      this.#takeUnread();
      this.#endWith(() => {
        this.#close();
      });
    });
  }

  /** True while a slice is being read. */
  get isHandingOn(): boolean {
    return this.#isHandingOn;
  }

  #addRead(bytes: Buffer): void {
    this.#rest = this.#rest ? Buffer.concat([this.#rest, bytes]) : bytes;
  }

  readonly #onRead = (bytes: Buffer): void => {
    this.#addRead(bytes);
    this.#handOn();
  };

  /** Takes what a connection got while it was paused, which it may no longer emit once it has failed or closed. */
  #takeUnread(): void {
    if (this.destroyed || !(this.#connection.errored || this.#connection.closed)) {
      return;
    }
    this.#connection.off("data", this.#onRead);
    for (;;) {
      const bytes = this.#connection.read() as Buffer | null;
      if (!bytes) {
        return;
      }
      this.#addRead(bytes);
    }
  }

  #endWith(ending: () => void): void {
    this.#endings.push(ending);
    this.#handOn();
  }

  /** Closes a connection that has ended, once the reader has all of it. */
  #close(): void {
    const hasEnd = this.#connection.readableEnded;
    if (hasEnd && !this.readableEnded) {
      this.once("end", () => this.destroy());
    } else {
      this.destroy();
    }
  }

  #handOn(): void {
    // Handing on within the parser would enter it twice.
    if (this.#isHandingOn) {
      return;
    }
    this.#isHandingOn = true;
    try {
      while (this.#rest && this.#mayHandOn) {
        const rest = this.#rest;
        const slice = rest.subarray(0, this.#sliceBytes);
        this.#rest = slice.length < rest.length ? rest.subarray(slice.length) : undefined;
        this.#handOnSlice(slice);
      }
    } finally {
      this.#isHandingOn = false;
    }
    if (this.destroyed) {
      return;
    }
    if (this.#rest || !this.#mayHandOn) {
      this.#connection.pause();
    } else {
      this.#endings.splice(0).forEach((ending) => {
        ending();
      });
      this.#connection.resume();
    }
  }

  #handOnSlice(slice: Buffer): void {
    const startMs = this.#clock.now();
    this.#isFull = !this.push(slice);
    this.#onSlice();
    const ms = this.#clock.now() - startMs;
    if (ms > SLOW_SLICE_MS) {
      this.#sliceBytes = Math.max(MIN_SLICE_BYTES, this.#sliceBytes / 2);
    } else if (ms < FAST_SLICE_MS) {
      this.#sliceBytes = Math.min(MAX_SLICE_BYTES, this.#sliceBytes * 2);
    }
    this.#turnMs += ms;
    if (this.#turnMs >= TURN_MS) {
      this.#waitForTurn();
    }
  }

  get #mayHandOn(): boolean {
    return !this.#isFull && !this.#isWaiting && !this.destroyed;
  }

  #waitForTurn(): void {
    this.#isWaiting = true;
    this.#turns.wait(() => {
      this.#isWaiting = false;
      this.#turnMs = 0;
      this.#handOn();
    });
  }

  override _read(): void {
    this.#isFull = false;
    // Within this call, bytes are only queued for the reader.
    process.nextTick(() => {
      this.#handOn();
    });
  }

  override _write(chunk: Buffer, encoding: BufferEncoding, done: WriteCallback): void {
    this.#connection.write(chunk, encoding, this.#behindRead(done));
  }

  override _writev(
    writes: readonly { chunk: Buffer; encoding: BufferEncoding }[],
    done: WriteCallback,
  ): void {
    const finish = this.#behindRead(done);
    this.#connection.cork();
    writes.forEach(({ chunk, encoding }, index) => {
      this.#connection.write(chunk, encoding, index === writes.length - 1 ? finish : undefined);
    });
    this.#connection.uncork();
  }

  override _final(done: WriteCallback): void {
    this.#connection.end(this.#behindRead(done));
  }

  /** Reports a failed write behind the bytes that came before it, which may be a whole answer. */
  #behindRead(done: WriteCallback): WriteCallback {
    return (err) => {
      if (err) {
        this.#endWith(() => {
          done(err);
        });
      } else {
        done();
      }
    };
  }

  override _destroy(err: Error | null, done: WriteCallback): void {
    this.#rest = undefined;
    this.#connection.destroy();
    done(err);
  }
}
