import {
  AnswerEnd,
  AnyEvents,
  Closing,
  Framing,
  type EndReport,
  type EventFormat,
} from "@lycheepulley/core";

import type {
  AnswerWriter,
  CallObserver,
  Dialect,
  HeaderList,
  UpstreamCall,
  UpstreamTransport,
} from "../types.js";

type OpenRequest = Parameters<UpstreamTransport["open"]>[0];

/** End of an answer in chunks. */
export const FRAMED_END: EndReport = {
  ...{ end: AnswerEnd.Whole, framing: Framing.Chunks, closing: Closing.Orderly },
};

/** End of an answer that ends with its connection, in order. */
export const UNFRAMED_END: EndReport = {
  ...{ end: AnswerEnd.Unknown, framing: Framing.None, closing: Closing.Orderly },
};

/** A call that a test answers. */
export interface FakeCall {
  readonly req: OpenRequest;
  readonly observer: CallObserver;
  /** Headers of the answer. */
  headers: HeaderList;
  isAborted: boolean;
}

/** Ends the answer of a call as a sound upstream does. */
export const endAnswer = (call: FakeCall | undefined): void => {
  call?.observer.onEnd(call.headers.includes("unframed") ? UNFRAMED_END : FRAMED_END);
};

/** Transport whose calls are answered by a test. */
export class FakeTransport implements UpstreamTransport {
  readonly calls: FakeCall[] = [];

  open(req: OpenRequest, observer: CallObserver): UpstreamCall {
    const call: FakeCall = {
      ...{ req, headers: [], isAborted: false },
      observer: {
        onHead: (head) => {
          call.headers = head.headers;
          observer.onHead(head);
        },
        onData: observer.onData.bind(observer),
        onEnd: observer.onEnd.bind(observer),
        onError: observer.onError.bind(observer),
      },
    };
    this.calls.push(call);
    return {
      pause: () => undefined,
      resume: () => undefined,
      abort: () => {
        call.isAborted = true;
      },
    };
  }

  get last(): FakeCall {
    const call = this.calls.at(-1);
    if (!call) {
      throw new Error("nothing was sent");
    }
    return call;
  }

  /** Begins an event stream on the last call. */
  startStream(headers: HeaderList = []): void {
    this.last.observer.onHead({ status: 200, headers: ["stream", "1", ...headers] });
  }

  sendEvents(...ids: number[]): void {
    const text = ids.map((id) => `id: ${String(id)}\ndata: x\n\n`).join("");
    this.last.observer.onData(Buffer.from(text));
  }

  /** Gives a whole plain answer on the last call. */
  answer(status: number, headers: HeaderList = [], body = ""): void {
    this.last.observer.onHead({ status, headers });
    this.last.observer.onData(Buffer.from(body));
    endAnswer(this.last);
  }
}

/** Dialect with plain words as headers, so that tests don't depend on a platform's names. */
export class FakeDialect implements Dialect {
  events: EventFormat = new AnyEvents();

  readHead(): never {
    throw new Error("not used");
  }

  newUpstreamHeaders(
    _req: unknown,
    fields: Parameters<Dialect["newUpstreamHeaders"]>[1],
  ): string[] {
    return ["upstream", fields.upstreamId, "last", fields.lastEventId ?? ""];
  }

  readAnswer(_req: unknown, head: { headers: HeaderList }): ReturnType<Dialect["readAnswer"]> {
    const { headers } = head;
    const limitAt = headers.indexOf("limit");
    const restAt = headers.indexOf("rest-ms");
    return {
      limitPerSecond: limitAt < 0 ? undefined : Number(headers[limitAt + 1]),
      isLeaving: headers.includes("leaving"),
      restMs: restAt < 0 ? undefined : Number(headers[restAt + 1]),
      isValid: !headers.includes("forged"),
      isNotRun: headers.includes("not-run"),
      faultAddress: undefined,
      isEventStream: headers.includes("stream"),
      hasLength: headers.includes("length"),
    };
  }

  newAnswerHeaders(head: { headers: HeaderList }): HeaderList {
    return head.headers;
  }
}

/** Records the answer that a caller would receive. */
export class FakeCaller implements AnswerWriter {
  status: number | undefined;
  headers: HeaderList = [];
  body = "";
  ending: "open" | "whole" | "cut" = "open";
  isOwn = false;
  retryAfterMs: number | undefined;

  get isHeadSent(): boolean {
    return this.status !== undefined;
  }

  sendHead(status: number, headers: HeaderList): void {
    this.status = status;
    this.headers = headers;
  }

  write(chunk: Buffer): boolean {
    this.body += chunk.toString();
    return true;
  }

  onDrain(): void {
    throw new Error("never full");
  }

  end(): void {
    this.ending = "whole";
  }

  abort(): void {
    this.ending = "cut";
  }

  sendOwn(status: number, message: string, retryAfterMs?: number): void {
    this.status = status;
    this.isOwn = true;
    this.body = message;
    this.retryAfterMs = retryAfterMs;
    this.ending = "whole";
  }
}
