import type { IncomingMessage, ServerResponse } from "node:http";

import { TokenBucket, type Clock } from "@lycheepulley/core";
import { readBody, sendJson, type Route } from "@lycheepulley/http";
import { z } from "zod";

const MAX_ENTRY_BYTES = 4_000_000;

/** Settings and faults of the log stand-in that can be changed while it runs. */
export const logFaultSchema = z.strictObject({
  /** Answers every call with status 503. */
  isDown: z.boolean().optional(),
  delayMs: z.number().nonnegative().optional(),
  /** Number of coming appends that take effect but whose response is lost. */
  loseAnswers: z.number().int().nonnegative().optional(),
  appendsPerS: z.number().positive().optional(),
  retentionMs: z.number().positive().optional(),
});
export type LogFault = z.infer<typeof logFaultSchema>;

interface StoredEntry {
  readonly offset: number;
  readonly timeMs: number;
  readonly data: string;
}

interface StoredStream {
  /** Offset of the first retained entry. */
  first: number;
  readonly entries: StoredEntry[];
  /** Wakes reads that wait for the next entry. */
  readonly waiters: Set<() => void>;
}

const appendSchema = z.object({ data: z.string() });

/** Simulates the platform's append-only log service, with its rate limit and retention. */
export class LogStandin {
  readonly #clock: Clock;
  readonly #streams = new Map<string, StoredStream>();
  readonly #bucket: TokenBucket;
  #isDown = false;
  #delayMs: number;
  #lostResponsesLeft = 0;
  #retentionMs: number;
  #appends = 0;
  #bytes = 0;
  #rejected = 0;

  constructor(options: {
    clock: Clock;
    appendsPerS: number;
    delayMs: number;
    retentionMs: number;
  }) {
    this.#clock = options.clock;
    this.#delayMs = options.delayMs;
    this.#retentionMs = options.retentionMs;
    const { clock, appendsPerS } = options;
    this.#bucket = new TokenBucket({ clock, ratePerS: appendsPerS, burst: appendsPerS / 5 });
  }

  /** Applies settings and faults; fields that are absent change nothing. */
  applyFault(fault: LogFault): void {
    this.#isDown = fault.isDown ?? this.#isDown;
    this.#delayMs = fault.delayMs ?? this.#delayMs;
    this.#lostResponsesLeft = fault.loseAnswers ?? this.#lostResponsesLeft;
    this.#retentionMs = fault.retentionMs ?? this.#retentionMs;
    if (fault.appendsPerS !== undefined) {
      this.#bucket.setRate(fault.appendsPerS);
    }
  }

  get routes(): Route[] {
    return [
      {
        method: "POST",
        path: "/v1/streams/:stream/entries",
        handle: (req, res, params) => this.#append(req, res, params["stream"] ?? ""),
      },
      {
        method: "GET",
        path: "/v1/streams/:stream/entries",
        handle: (_req, res, params, url) => this.#read(res, params["stream"] ?? "", url),
      },
      {
        method: "GET",
        path: "/v1/streams/:stream",
        handle: (_req, res, params) => {
          if (this.#isDown) {
            sendJson(res, 503, {});
            return;
          }
          const stream = this.#getStream(params["stream"] ?? "");
          sendJson(res, 200, getExtent(stream));
        },
      },
      {
        method: "POST",
        path: "/standin/log/faults",
        handle: async (req, res) => {
          const body: unknown = JSON.parse((await readBody(req, MAX_ENTRY_BYTES)).toString());
          this.applyFault(logFaultSchema.parse(body));
          sendJson(res, 200, {});
        },
      },
      {
        method: "GET",
        path: "/standin/log/stats",
        handle: (_req, res) => {
          const sizes = [...this.#streams].map(([name, s]) => [name, getExtent(s).end] as const);
          sendJson(res, 200, {
            appends: this.#appends,
            bytes: this.#bytes,
            refused: this.#rejected,
            streams: Object.fromEntries(sizes),
          });
        },
      },
    ];
  }

  async #append(req: IncomingMessage, res: ServerResponse, name: string): Promise<void> {
    const raw = (await readBody(req, MAX_ENTRY_BYTES)).toString();
    if (this.#isDown) {
      sendJson(res, 503, { error: "log is down" });
      return;
    }
    if (!this.#bucket.tryTake()) {
      this.#rejected += 1;
      sendJson(res, 429, { error: "append rate exceeded" });
      return;
    }
    const { data } = appendSchema.parse(JSON.parse(raw));
    await this.#delay(this.#delayMs / 2);
    const stream = this.#getStream(name);
    const offset = getExtent(stream).end;
    stream.entries.push({ offset, timeMs: this.#clock.wall(), data });
    this.#appends += 1;
    this.#bytes += data.length;
    [...stream.waiters].forEach((wake) => {
      wake();
    });
    if (this.#lostResponsesLeft > 0) {
      this.#lostResponsesLeft -= 1;
      res.destroy();
      return;
    }
    await this.#delay(this.#delayMs / 2);
    sendJson(res, 200, { offset });
  }

  async #read(res: ServerResponse, name: string, url: URL): Promise<void> {
    if (this.#isDown) {
      sendJson(res, 503, { error: "log is down" });
      return;
    }
    const stream = this.#getStream(name);
    const from = Number(url.searchParams.get("from") ?? 0);
    const limit = Number(url.searchParams.get("limit") ?? 100);
    const waitMs = Number(url.searchParams.get("waitMs") ?? 0);
    if (from >= getExtent(stream).end && waitMs > 0) {
      await this.#waitForEntry(stream, waitMs);
    }
    const { first, end } = getExtent(stream);
    if (this.#isDown) {
      sendJson(res, 503, { error: "log is down" });
    } else if (from < first) {
      sendJson(res, 410, { error: "offset is no longer retained", first });
    } else {
      const entries = stream.entries.slice(from - first, from - first + limit);
      sendJson(res, 200, { first, end, entries });
    }
  }

  #waitForEntry(stream: StoredStream, waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        cancel();
        stream.waiters.delete(wake);
        resolve();
      };
      const cancel = this.#clock.setTimer(wake, waitMs);
      stream.waiters.add(wake);
    });
  }

  /** Gets or creates a stream and drops entries that are past the retention. */
  #getStream(name: string): StoredStream {
    const stream = this.#streams.get(name) ?? { first: 0, entries: [], waiters: new Set() };
    this.#streams.set(name, stream);
    const oldestMs = this.#clock.wall() - this.#retentionMs;
    const firstRetained = stream.entries.findIndex((entry) => entry.timeMs >= oldestMs);
    const expiredCount = firstRetained === -1 ? stream.entries.length : firstRetained;
    stream.entries.splice(0, expiredCount);
    stream.first += expiredCount;
    return stream;
  }

  #delay(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.#clock.setTimer(resolve, ms);
    });
  }
}

/** Offsets of the first retained entry and of the next entry. */
const getExtent = (stream: StoredStream): { first: number; end: number } => ({
  first: stream.first,
  end: stream.first + stream.entries.length,
});
