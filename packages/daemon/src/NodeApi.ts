import type {
  AcceptedRequest,
  AddressAnswer,
  CallerAddress,
  ServingApi,
} from "@lycheepulley/callers";
import {
  FateState,
  findCustomer,
  PulleyError,
  rankMembers,
  sha256,
  type Fate,
} from "@lycheepulley/core";
import { NodeState } from "@lycheepulley/nodes";
import { getFateState, type CoordinationNode, type RequestTrace } from "@lycheepulley/serving";
import type { Logger, Metrics } from "@lycheepulley/telemetry";

import type { Settings } from "./settings.js";

const DEFAULT_MAX_BODY_BYTES = 16_000_000;
const DEFAULT_ADDRESS_KEEP_MS = 15_000;

export interface NodeApiOptions {
  readonly settings: Settings;
  readonly node: CoordinationNode;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** Serves callers from the coordination node of one entry process. */
export class NodeApi implements ServingApi {
  readonly #options: NodeApiOptions;

  constructor(options: NodeApiOptions) {
    this.#options = options;
  }

  get maxBodyBytes(): number {
    return this.#options.node.config.current?.config.limits.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
  }

  get isFull(): boolean {
    return this.#options.node.fates.running >= this.#options.settings.maxInFlight;
  }

  authenticate(apiKey: string): string | undefined {
    const inForce = this.#options.node.config.current;
    return inForce ? findCustomer(inForce.config, apiKey) : undefined;
  }

  /** Address of another process for callers that arrive late in a drain; undefined before. */
  getRedirectAddress(): CallerAddress | undefined {
    return this.#options.node.drainer.isRedirecting
      ? this.getAddresses("", undefined).addresses[0]
      : undefined;
  }

  accept(customer: string): AcceptedRequest {
    const { fates, prompts, services } = this.#options.node;
    const trace = fates.begin(customer);
    return {
      requestId: trace.requestId,
      runPrompt: async (req, sink) => {
        try {
          return await prompts.run(trace, req, sink);
        } finally {
          this.#logRequestEnd(trace);
        }
      },
      runService: async (req) => {
        try {
          return await services.run(trace, req);
        } finally {
          this.#logRequestEnd(trace);
        }
      },
      reject: (err) => {
        const isPulleyError = err instanceof PulleyError;
        const state = isPulleyError ? getFateState(err.verdict) : FateState.NotRun;
        trace.end(state, err instanceof Error ? err.message : String(err));
      },
    };
  }

  listModels(): readonly string[] {
    return Object.keys(this.#options.node.config.current?.config.models ?? {});
  }

  /**
   * Lists the live processes, those in the caller's failure domain first. Within
   * a domain, rendezvous hashing by customer keeps requests that share prompt
   * prefixes on the same process.
   */
  getAddresses(customer: string, failureDomain: string | undefined): AddressAnswer {
    const { membership, config } = this.#options.node;
    const liveMembers = membership.getMembers().filter(({ state }) => state === NodeState.Live);
    const ranked = rankMembers(
      sha256(customer),
      liveMembers.map(({ report }) => report.name),
    );
    const ordered = ranked
      .flatMap((name) => liveMembers.find(({ report }) => report.name === name) ?? [])
      .sort(
        (a, b) =>
          Number(b.report.failureDomain === failureDomain) -
          Number(a.report.failureDomain === failureDomain),
      );
    return {
      addresses: ordered.map(({ report }) => ({
        host: report.host,
        port: report.port,
        failureDomain: report.failureDomain,
      })),
      keepMs: config.current?.config.limits.addressKeepMs ?? DEFAULT_ADDRESS_KEEP_MS,
    };
  }

  fetchFate(requestId: string): Promise<Fate | undefined> {
    return this.#options.node.finder.find(requestId);
  }

  getMetrics(): Promise<string> {
    return this.#options.metrics.getText();
  }

  #logRequestEnd(trace: RequestTrace): void {
    const { requestId, state, className, customer, endedAfterMs, reason } = trace.fate;
    const fields = { requestId, state, className, customer, ms: Math.round(endedAfterMs ?? 0) };
    const [step, , peer] = trace.fate.steps.at(-1) ?? ["", 0, ""];
    this.#options.logger.info("request ended", { ...fields, step, peer, reason });
  }
}
