import { getMessage, PeerError, type AnswerChunk, type TrafficMeter } from "@lycheepulley/core";
import { HttpPeer, type StreamOptions } from "@lycheepulley/http";
import { z } from "zod";

import { AnswerLimit } from "./AnswerLimit.js";
import type {
  EngineClient,
  EngineOrder,
  GenerateCall,
  KvReserveCall,
  KvSegmentCall,
  OnChunk,
  ResumeCall,
} from "./EngineClient.js";
import { DONE_MARKER, NumberedEvents, type EngineFormat } from "./EngineEvents.js";
import { SseReader, type SseEvent } from "./sse.js";
import {
  cacheEventPageSchema,
  completionEventSchema,
  EngineHeader,
  engineLoadSchema,
  engineStateSchema,
  EXTENSION_PREFIX,
  kvHoldingSchema,
  orderResultSchema,
  RESUME_FIELD,
  type CacheEventPage,
  type EngineLoad,
  type EngineState,
  type KvHolding,
  type OrderResult,
} from "./types.js";

const HTTP_OK = 200;
const HTTP_CONFLICT = 409;
const HTTP_INSUFFICIENT_STORAGE = 507;
/** Streams have a connection pool of their own, as they last long and would block short calls. */
const MAX_STREAM_CONNECTIONS = 256;
/** Longest report of an engine; its streams aren't kept. */
const MAX_REPORT_BYTES = 4_194_304;

const exportResponseSchema = z.object({ handle: z.string() });

/** Client of an engine with an OpenAI-style API and the extension interface (docs/PLATFORM.md). */
export class ExtendedEngineClient implements EngineClient {
  readonly name: string;
  readonly #peer: HttpPeer;
  readonly #streamPeer: HttpPeer;
  readonly #format: EngineFormat;

  constructor(options: {
    name: string;
    origin: string;
    traffic?: TrafficMeter | undefined;
    /** What its streams may consist of. */
    format?: EngineFormat;
  }) {
    const { name, origin, traffic, format = new NumberedEvents() } = options;
    this.name = name;
    this.#format = format;
    const maxAnswerBytes = MAX_REPORT_BYTES;
    this.#peer = new HttpPeer({
      ...{ name, kind: "engine", origin, connections: 4, maxAnswerBytes, traffic },
    });
    this.#streamPeer = new HttpPeer({
      name,
      kind: "engine-stream",
      origin,
      connections: MAX_STREAM_CONNECTIONS,
      maxAnswerBytes,
      reusesConnections: false,
    });
  }

  async generate(call: GenerateCall, onChunk: OnChunk): Promise<void> {
    call.onSend?.();
    const { resume, attemptId, maxTokens } = call;
    const parser = this.#newParser({
      ...{ attemptId, fromSeq: resume?.fromSeq ?? 0, maxTokens, onChunk },
    });
    await this.#stream(
      call.path,
      {
        method: "POST",
        body: resume ? addResumeField(call.body, resume) : call.body,
        signal: call.signal,
        timeoutMs: call.timeoutMs,
        headers: {
          [EngineHeader.Attempt]: attemptId,
          [EngineHeader.Priority]: String(call.priority),
          [EngineHeader.TimeoutMs]: String(Math.round(call.timeoutMs)),
          ...(call.headers ?? {}),
          ...(call.reservationId ? { [EngineHeader.Reservation]: call.reservationId } : {}),
          ...(call.segments?.length ? { [EngineHeader.Segments]: call.segments.join(",") } : {}),
        },
      },
      parser,
    );
  }

  async resume(call: ResumeCall, onChunk: OnChunk): Promise<void> {
    const { attemptId, fromSeq, maxTokens, signal, timeoutMs } = call;
    const parser = this.#newParser({ attemptId, fromSeq, maxTokens, onChunk });
    const path = `${EXTENSION_PREFIX}/streams/${attemptId}?from=${String(fromSeq)}`;
    await this.#stream(path, { signal, timeoutMs }, parser);
  }

  async #stream(path: string, options: StreamOptions, parser: AnswerParser): Promise<void> {
    try {
      await this.#streamPeer.stream(path, { ...options, hasEndMarker: true }, parser.push);
    } catch (err) {
      if (!parser.isOverrun) {
        throw err;
      }
    }
    parser.checkEnded();
  }

  async cancel(attemptId: string): Promise<void> {
    const path = `${EXTENSION_PREFIX}/streams/${attemptId}`;
    await this.#peer.call(path, { method: "DELETE" });
  }

  fetchLoad(): Promise<EngineLoad> {
    return this.#peer.callJson(`${EXTENSION_PREFIX}/load`, engineLoadSchema);
  }

  fetchCacheEvents(fromSeq: number): Promise<CacheEventPage> {
    const path = `${EXTENSION_PREFIX}/cache-events?from=${String(fromSeq)}`;
    return this.#peer.callJson(path, cacheEventPageSchema);
  }

  fetchState(): Promise<EngineState> {
    return this.#peer.callJson(`${EXTENSION_PREFIX}/state`, engineStateSchema);
  }

  order(order: EngineOrder): Promise<OrderResult> {
    return this.#peer.postJson(`${EXTENSION_PREFIX}/orders`, order, orderResultSchema);
  }

  listKv(): Promise<KvHolding[]> {
    return this.#peer.callJson(`${EXTENSION_PREFIX}/kv`, z.array(kvHoldingSchema));
  }

  async reserveKv(call: KvReserveCall): Promise<boolean> {
    const { status, text } = await this.#peer.call(`${EXTENSION_PREFIX}/kv`, {
      method: "POST",
      body: JSON.stringify(call),
    });
    if (status === HTTP_CONFLICT || status === HTTP_INSUFFICIENT_STORAGE) {
      return false;
    }
    if (status !== HTTP_OK) {
      throw new PeerError(this.name, `status ${String(status)}: ${text}`, { sent: true, status });
    }
    return true;
  }

  async renewKv(id: string, termMs: number): Promise<void> {
    const path = `${EXTENSION_PREFIX}/kv/${id}/renew`;
    const { status, text } = await this.#peer.call(path, {
      method: "POST",
      body: JSON.stringify({ termMs }),
    });
    if (status < 200 || status > 299) {
      throw new PeerError(this.name, `status ${String(status)}: ${text}`, { sent: true, status });
    }
  }

  async releaseKv(id: string): Promise<void> {
    await this.#peer.call(`${EXTENSION_PREFIX}/kv/${id}`, { method: "DELETE" });
  }

  async exportSegment(call: KvSegmentCall): Promise<string> {
    const { signal, timeoutMs, ...body } = call;
    const path = `${EXTENSION_PREFIX}/kv/${call.reservationId}/export`;
    const { handle } = await this.#streamPeer.postJson(path, body, exportResponseSchema, {
      signal,
      timeoutMs,
    });
    return handle;
  }

  async close(): Promise<void> {
    await Promise.all([this.#peer.close(), this.#streamPeer.close()]);
  }

  #newParser(answer: AnswerOptions): AnswerParser {
    return new AnswerParser({ ...answer, engine: this.name, format: this.#format });
  }
}

interface AnswerOptions {
  readonly attemptId: string;
  readonly fromSeq: number;
  readonly maxTokens: number | undefined;
  readonly onChunk: OnChunk;
}

/** Parses the server-sent events of one stream into answer chunks. */
class AnswerParser {
  /** Parses the next bytes of the stream. */
  readonly push: (bytes: Buffer) => void;
  readonly #engine: string;
  readonly #format: EngineFormat;
  readonly #attemptId: string;
  readonly #onChunk: OnChunk;
  readonly #limit: AnswerLimit;
  #nextSeq: number;
  #hasEnded = false;
  #isOverrun = false;

  constructor(options: AnswerOptions & { engine: string; format: EngineFormat }) {
    this.#engine = options.engine;
    this.#format = options.format;
    this.#attemptId = options.attemptId;
    this.#onChunk = options.onChunk;
    this.#nextSeq = options.fromSeq;
    this.#limit = new AnswerLimit(options.maxTokens);
    const sse = new SseReader(options.format.newCheck(undefined), (event) => {
      this.#onEvent(event);
    });
    this.push = (bytes) => {
      if (!this.#limit.addBytes(bytes.length)) {
        this.#isOverrun = this.#hasEnded;
        throw this.#newTooLongError("bytes");
      }
      const invalid = this.#hasEnded ? undefined : sse.push(bytes);
      // Nothing behind the end marker is part of the answer.
      if (invalid && !this.#hasEnded) {
        const message = `invalid event: ${invalid.fault} at byte ${String(invalid.offset)}`;
        throw new PeerError(this.#engine, message, { sent: true });
      }
    };
  }

  /** Throws a PeerError unless the end marker has arrived. */
  checkEnded(): void {
    if (!this.#hasEnded) {
      const message = "stream ended without its end marker";
      throw new PeerError(this.#engine, message, { sent: true });
    }
  }

  /** True when the stream goes on far behind its end marker. */
  get isOverrun(): boolean {
    return this.#isOverrun;
  }

  #newTooLongError(what: string): PeerError {
    const message = `stream has more ${what} than its answer can have`;
    return new PeerError(this.#engine, message, { sent: true });
  }

  #onEvent(event: SseEvent): void {
    if (this.#hasEnded) {
      return;
    }
    if (event.data === DONE_MARKER) {
      this.#hasEnded = true;
      return;
    }
    if (!this.#limit.addChunk()) {
      throw this.#newTooLongError("chunks");
    }
    const named = event.id === undefined ? undefined : this.#format.parseId(event.id);
    const place = named ?? { attemptId: this.#attemptId, seq: this.#nextSeq };
    const chunk = { ...place, ...parseData(event.data) };
    this.#nextSeq = chunk.seq + 1;
    this.#onChunk(chunk);
  }
}

/** Appends the resume field to the body's JSON text, which avoids parsing a long prompt again. */
const addResumeField = (body: string, resume: NonNullable<GenerateCall["resume"]>): string =>
  `${body.slice(0, body.lastIndexOf("}"))},"${RESUME_FIELD}":${JSON.stringify(resume)}}`;

const parseData = (data: string): Pick<AnswerChunk, "text" | "finishReason"> => {
  try {
    const choice = completionEventSchema.parse(JSON.parse(data)).choices[0];
    return {
      text: choice?.delta?.content ?? choice?.text ?? "",
      finishReason: choice?.finish_reason ?? undefined,
    };
  } catch (err) {
    throw new PeerError("engine", `unreadable event: ${getMessage(err)}`, { sent: true });
  }
};
