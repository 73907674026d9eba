import type { Duplex } from "node:stream";

import type { AnswerFault, EndReport, EventFormat, Framing } from "@lycheepulley/core";

import type { Route, Upstream } from "./fleetConfig.js";
import type { Homes } from "./regions.js";

/** Headers as a flat list of names and values, in their order on the wire. */
export type HeaderList = readonly string[];

/** Request line and headers of a caller's request, parsed. */
export interface RequestHead {
  /** Id of this attempt of the caller. */
  readonly attemptId: string;
  readonly method: string;
  /** Path and query, unchanged. */
  readonly path: string;
  readonly host: string;
  readonly headers: HeaderList;
  /** Time that the caller will wait, milliseconds from receipt. */
  readonly deadlineMs: number | undefined;
  readonly apiKey: string | undefined;
  readonly promptTokens: number;
  /** Most tokens that the answer may have. */
  readonly outputTokens: number;
  /** The caller's own estimate of the number of tokens of the answer. */
  readonly outputHint?: number | undefined;
  readonly lastEventId: string | undefined;
  /** Ids of the parts of the prompt that other requests may share, in their order. */
  readonly sharedParts: readonly string[];
}

/** A request that the listener admitted. */
export interface ForwardRequest {
  readonly head: RequestHead;
  readonly route: Route;
  readonly body: Buffer;
  /** Name of the customer whose API key the request carries. */
  readonly customer: string | undefined;
  /** Regions of the upstreams and the peers that may have it. */
  readonly homes?: Homes;
  readonly priority: number;
  /** Revision of the configuration that admitted it. */
  readonly revision: number;
  /** Monotonic time of receipt. */
  readonly receivedMs: number;
  /** Equal for requests with the same path, customer and body. */
  readonly fingerprint: string;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Asks whether the caller is still there, before anything is sent; undefined when that is known. */
  readonly confirmCaller?: () => Promise<void> | undefined;
}

/** Writes the answer to a caller. */
export interface AnswerWriter {
  readonly isHeadSent: boolean;
  /**
   * Starts the answer of an upstream; `headers` go out unchanged. The caller can tell the end of the
   * answer from that of its connection, whatever the upstream's framing.
   */
  sendHead(status: number, headers: HeaderList): void;
  /** Returns false when the caller reads more slowly than the answer is written. */
  write(chunk: Buffer): boolean;
  onDrain(fn: () => void): void;
  /** Tells which call the body of the request goes to. */
  onSend?(call: UpstreamCall): void;
  /**
   * Counts bytes that are kept until the answer is known to be whole; negative once they aren't.
   * Returns false when there is no memory for more.
   */
  collect?(bytes: number): boolean;
  end(): void;
  /** Breaks the connection, so that the caller can't take the answer for complete. */
  abort(): void;
  /** Sends an answer that this process generates itself. */
  sendOwn(status: number, message: string, retryAfterMs?: number): void;
}

/** Head of an upstream's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: HeaderList;
  /** What tells the end of the body; undefined when that isn't known. */
  readonly framing?: Framing;
}

/** Properties of an upstream's answer, read from its head. */
export interface AnswerFacts {
  /** It belongs to the request, and its body has no content encoding. */
  readonly isValid: boolean;
  /** The upstream states that it didn't run the request. */
  readonly isNotRun: boolean;
  /** Address of the upstream at fault, when it isn't the one that answered. */
  readonly faultAddress: string | undefined;
  readonly isEventStream: boolean;
  /** Its head declares the length of its body. */
  readonly hasLength: boolean;
  /** Requests a second that the upstream takes from all processes; undefined when it names no limit. */
  readonly limitPerSecond: number | undefined;
  /** The upstream is about to end, and takes no new requests after its drain time. */
  readonly isLeaving?: boolean;
  /** Time for which the upstream wants no requests from this process, milliseconds. */
  readonly restMs?: number | undefined;
  /** How long the upstream stays cold, milliseconds; undefined when it says nothing of it. */
  readonly coldMs?: number | undefined;
  /** A limit that can't be read, as it was sent. */
  readonly unreadableLimit?: string | undefined;
}

/** Fields that an entry process sets on a request to an upstream. */
export interface UpstreamFields {
  readonly deadlineMs: number;
  readonly upstreamId: string;
  readonly customer: string | undefined;
  readonly lastEventId: string | undefined;
  readonly urgency: number | undefined;
  readonly helpers: readonly {
    readonly upstream: Upstream;
    readonly reservationId?: string | undefined;
  }[];
}

/** Maps the fields of requests and answers to the header names of one platform's interface. */
export interface Dialect {
  /** What the upstreams' event streams consist of. */
  readonly events: EventFormat;
  readHead(req: {
    readonly method: string;
    readonly path: string;
    readonly headers: HeaderList;
  }): RequestHead;
  newUpstreamHeaders(req: ForwardRequest, fields: UpstreamFields): HeaderList;
  readAnswer(req: ForwardRequest, head: AnswerHead): AnswerFacts;
  /** Headers for the caller; `keepLength` passes the length of the upstream's answer on. */
  newAnswerHeaders(head: AnswerHead, options: { keepLength: boolean }): HeaderList;
}

/** Whether a failed call reached the upstream. */
export const SendState = {
  /** No byte reached the upstream. */
  Unsent: "unsent",
  /** Bytes may have reached the upstream. */
  Sent: "sent",
} as const;
export type SendState = (typeof SendState)[keyof typeof SendState];

/** Receives the events of one call to an upstream. */
export interface CallObserver {
  onHead(head: AnswerHead): void;
  /** `chunks` counts the chunks that the bytes came in. */
  onData(chunk: Buffer, chunks?: number): void;
  /** All was read that the framing promises or, without framing, until the connection ended. */
  onEnd(report: EndReport): void;
  /** Called at most once; nothing follows. `fault` is set when the upstream sent what is no answer. */
  onError(state: SendState, err: Error, fault?: AnswerFault): void;
}

/** A call in progress. */
export interface UpstreamCall {
  /** Bytes of the request that the upstream hasn't taken; undefined when that isn't known. */
  readonly unsentBytes?: number;
  pause(): void;
  resume(): void;
  /** Closes the connection; the observer gets no more events. */
  abort(): void;
}

/** Address of an upstream. */
export interface UpstreamAddress {
  readonly host: string;
  readonly port: number;
  /** Regions of the peers through which a connection may go. */
  readonly homes?: Homes;
}

/** Opens connections to upstreams. */
export interface Connector {
  /** Rejects when there is no connection within `timeoutMs`; no byte has reached the upstream then. */
  connect(address: UpstreamAddress, timeoutMs: number): Promise<Duplex>;
}

/** Sends requests to upstreams over the network. */
export interface UpstreamTransport {
  open(
    req: {
      readonly host: string;
      readonly port: number;
      readonly method: string;
      readonly path: string;
      readonly headers: HeaderList;
      readonly body: Buffer;
      readonly connectTimeoutMs: number;
      readonly homes?: Homes;
      /** Called once the connection is open; the request goes out when it resolves. Never rejects. */
      readonly confirm?: (() => Promise<void> | undefined) | undefined;
    },
    observer: CallObserver,
  ): UpstreamCall;
}

/** Reserves KV memory at upstreams, and checks whether they are alive. */
export interface UpstreamControl {
  /** True when the upstream answers within a short time-out, even when it is busy. */
  isAlive(upstream: Upstream): Promise<boolean>;
  /** True when the upstream reserved the memory or renewed the reservation. */
  reserve(
    upstream: Upstream,
    reservation: { readonly id: string; readonly tokens: number; readonly holdMs: number },
  ): Promise<boolean>;
  release(upstream: Upstream, reservationId: string): Promise<void>;
}

/** Takes what upstreams say of themselves besides their answers to requests. */
export interface ReportObserver {
  /** The upstream stays cold for `leftMs`; 0 when it is warm. */
  record(upstream: string, leftMs: number): void;
}

/** How a process reaches upstreams. */
export interface UpstreamLinks {
  /** Opens connections over this process's own network. */
  readonly connector: Connector;
  newTransport(connector: Connector): UpstreamTransport;
  newControl(transport: UpstreamTransport, observer: ReportObserver): UpstreamControl;
}
