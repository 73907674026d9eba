import type { Route, Upstream } from "./fleetConfig.js";

/** Headers as a flat list of names and values, in their order on the wire. */
export type HeaderList = readonly string[];

/** What a caller's request says of itself, read from its head. */
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
  readonly outputTokens: number;
  readonly lastEventId: string | undefined;
}

/** A request that passed the door. */
export interface ForwardRequest {
  readonly head: RequestHead;
  readonly route: Route;
  readonly body: Buffer;
  /** Name of the customer whose key it carried. */
  readonly customer: string | undefined;
  readonly priority: number;
  /** Revision of the configuration that admitted it. */
  readonly revision: number;
  /** Monotonic time of receipt. */
  readonly receivedMs: number;
  /** Equal for requests with the same path, customer and body. */
  readonly fingerprint: string;
  /** Aborts when the caller is gone. */
  readonly signal: AbortSignal;
}

/** Takes the answer for a caller. */
export interface AnswerWriter {
  readonly isHeadSent: boolean;
  /**
   * Starts an answer of an upstream; `headers` go out unchanged. An answer that
   * isn't framed ends with the caller's connection.
   */
  sendHead(status: number, headers: HeaderList, isFramed: boolean): void;
  /** False when the caller reads more slowly than this is written. */
  write(chunk: Buffer): boolean;
  onDrain(fn: () => void): void;
  end(): void;
  /** Breaks the connection, so that the answer can't look complete. */
  abort(): void;
  /** Sends an answer of this process's own. */
  sendOwn(status: number, message: string, retryAfterMs?: number): void;
}

/** Head of an upstream's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: HeaderList;
}

/** What an upstream's answer says of itself. */
export interface AnswerFacts {
  /** It belongs to the request and its body is unencoded. */
  readonly isValid: boolean;
  /** The upstream states that the request didn't run. */
  readonly isNotRun: boolean;
  /** Address of the upstream at fault, when another one than the sender. */
  readonly faultAddress: string | undefined;
  readonly isEventStream: boolean;
  /** Its end can be told from a cut: it has a length or is sent in chunks. */
  readonly isFramed: boolean;
}

/** Values that the system sets on a request to an upstream. */
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

/** Names under which one interface carries the fields of requests and answers. */
export interface Dialect {
  readHead(req: {
    readonly method: string;
    readonly path: string;
    readonly headers: HeaderList;
  }): RequestHead;
  newUpstreamHeaders(req: ForwardRequest, fields: UpstreamFields): HeaderList;
  readAnswer(req: ForwardRequest, head: AnswerHead): AnswerFacts;
  /** Headers for the caller; `isClosing` ends its connection after the answer. */
  newAnswerHeaders(head: AnswerHead, options: { keepLength: boolean }): HeaderList;
}

/** How far a failed call came. */
export const SendState = {
  /** No byte reached the upstream. */
  Unsent: "unsent",
  Sent: "sent",
} as const;
export type SendState = (typeof SendState)[keyof typeof SendState];

/** Receives what becomes of one call to an upstream. */
export interface CallObserver {
  onHead(head: AnswerHead): void;
  onData(chunk: Buffer): void;
  /** The answer ended as its framing says it should. */
  onEnd(): void;
  /** Called at most once; nothing follows. */
  onError(state: SendState, err: Error): void;
}

/** A call in progress. */
export interface UpstreamCall {
  pause(): void;
  resume(): void;
  /** Drops the connection; no more is observed. */
  abort(): void;
}

/** Sends requests to upstreams as bytes. */
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
    },
    observer: CallObserver,
  ): UpstreamCall;
}

/** Sets memory aside at upstreams, and asks whether they are alive. */
export interface UpstreamControl {
  /** True when the upstream answers within a short time-out, even when it is busy. */
  isAlive(upstream: Upstream): Promise<boolean>;
  /** True when the upstream holds the memory. */
  reserve(
    upstream: Upstream,
    reservation: { readonly id: string; readonly tokens: number; readonly holdMs: number },
  ): Promise<boolean>;
  release(upstream: Upstream, reservationId: string): Promise<void>;
}
