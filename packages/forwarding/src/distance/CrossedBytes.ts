import type { Upstream } from "../fleetConfig.js";
import type { CallObserver, UpstreamCall, UpstreamTransport } from "../types.js";

/** Why bytes cross failure domains. */
export const CrossingCause = {
  /** Requests to upstreams. */
  Prompts: "prompts",
  /** Their answers. */
  Answers: "answers",
  /** Orders to upstreams and their answers: memory, health, liveness. */
  Orders: "orders",
  /** Messages to other entry processes. */
  Peers: "peers",
} as const;
export type CrossingCause = (typeof CrossingCause)[keyof typeof CrossingCause];

type Open = Parameters<UpstreamTransport["open"]>[0];

/** Counts the bytes that this process sends to, or gets from, other failure domains, by cause. */
export class CrossedBytes {
  readonly #self: string;
  readonly #bytes: Record<CrossingCause, number> = { prompts: 0, answers: 0, orders: 0, peers: 0 };

  /** `self` is the failure domain of this process. */
  constructor(self: string) {
    this.#self = self;
  }

  /** Bytes since the start, without the framing of the network. */
  get counts(): Readonly<Record<CrossingCause, number>> {
    return this.#bytes;
  }

  /** Adds bytes that went to, or came from, a failure domain; those of an unknown one don't count. */
  add(cause: CrossingCause, failureDomain: string | undefined, bytes: number): void {
    if (failureDomain !== undefined && failureDomain !== "" && failureDomain !== this.#self) {
      this.#bytes[cause] += bytes;
    }
  }

  /** Counts the bytes of all calls of a transport: heads by their text, bodies as they are. */
  watch(
    transport: UpstreamTransport,
    causes: { readonly sent: CrossingCause; readonly received: CrossingCause },
    upstreams: () => Iterable<Upstream>,
  ): UpstreamTransport {
    return {
      open: (req, observer): UpstreamCall => {
        const failureDomain = findDomain(upstreams(), req);
        if (failureDomain === undefined || failureDomain === this.#self) {
          return transport.open(req, observer);
        }
        this.add(causes.sent, failureDomain, getHeadBytes(req.headers) + req.body.length);
        const onBytes = (bytes: number): void => {
          this.add(causes.received, failureDomain, bytes);
        };
        return transport.open(req, withCount(observer, onBytes));
      },
    };
  }
}

const findDomain = (
  upstreams: Iterable<Upstream>,
  { host, port }: Pick<Open, "host" | "port">,
): string | undefined => {
  for (const upstream of upstreams) {
    if (upstream.host === host && upstream.port === port) {
      return upstream.failureDomain;
    }
  }
  return undefined;
};

const getHeadBytes = (headers: Open["headers"]): number =>
  headers.reduce((sum, text) => sum + text.length, 0);

const withCount = (observer: CallObserver, onBytes: (bytes: number) => void): CallObserver => ({
  onHead: (head) => {
    onBytes(getHeadBytes(head.headers));
    observer.onHead(head);
  },
  onData: (chunk, chunks) => {
    onBytes(chunk.length);
    observer.onData(chunk, chunks);
  },
  onEnd: (report) => {
    observer.onEnd(report);
  },
  onError: (state, err, fault) => {
    observer.onError(state, err, fault);
  },
});
