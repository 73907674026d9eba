import { isPeerError, parseRecords, type TrafficMeter } from "@lycheepulley/core";
import { HttpPeer } from "@lycheepulley/http";
import { z } from "zod";

import { LogTrimmedError, type LogClient, type LogExtent, type LogPage } from "./LogClient.js";

const APPEND_TIMEOUT_MS = 1_500;
const READ_TIMEOUT_MS = 2_000;
/** Pages have hundreds of entries, some of them whole configurations. */
const MAX_PAGE_BYTES = 33_554_432;
const HTTP_GONE = 410;

const extentSchema = z.object({ first: z.number().int(), end: z.number().int() });
const pageSchema = extentSchema.extend({
  entries: z.array(z.object({ offset: z.number().int(), timeMs: z.number(), data: z.string() })),
});
const appendedSchema = z.object({ offset: z.number().int() });

/** Client of the log service's HTTP interface (docs/PLATFORM.md). */
export class HttpLogClient implements LogClient {
  readonly #peer: HttpPeer;

  constructor(options: { origin: string; traffic?: TrafficMeter | undefined }) {
    this.#peer = new HttpPeer({
      name: "log",
      kind: "log",
      origin: options.origin,
      timeoutMs: READ_TIMEOUT_MS,
      maxAnswerBytes: MAX_PAGE_BYTES,
      traffic: options.traffic,
    });
  }

  async append(stream: string, data: string): Promise<number> {
    const path = `/v1/streams/${stream}/entries`;
    const { offset } = await this.#peer.postJson(path, { data }, appendedSchema, {
      timeoutMs: APPEND_TIMEOUT_MS,
    });
    return offset;
  }

  async read(
    stream: string,
    from: number,
    options: { limit: number; waitMs: number; signal?: AbortSignal },
  ): Promise<LogPage> {
    const query = `from=${String(from)}&limit=${String(options.limit)}&waitMs=${String(options.waitMs)}`;
    try {
      const page = await this.#peer.callJson(`/v1/streams/${stream}/entries?${query}`, pageSchema, {
        signal: options.signal,
        timeoutMs: READ_TIMEOUT_MS + options.waitMs,
      });
      return {
        ...page,
        entries: page.entries.map(({ offset, timeMs, data }) => ({
          offset,
          timeMs,
          records: parseRecords(data),
        })),
      };
    } catch (err) {
      if (isPeerError(err) && err.status === HTTP_GONE) {
        const { first } = await this.fetchExtent(stream);
        throw new LogTrimmedError(stream, first);
      }
      throw err;
    }
  }

  fetchExtent(stream: string): Promise<LogExtent> {
    return this.#peer.callJson(`/v1/streams/${stream}`, extentSchema);
  }

  close(): Promise<void> {
    return this.#peer.close();
  }
}
