import type { AcceptedRequest, AddressAnswer, ServingApi } from "@lycheepulley/callers";
import {
  FateState,
  findCustomer,
  parseRequestId,
  PulleyError,
  rankMembers,
  sha256,
  type Fate,
} from "@lycheepulley/core";
import { NodeState } from "@lycheepulley/nodes";
import {
  getFateState,
  type ConfigKeeper,
  type FateRecorder,
  type Membership,
  type PromptRunner,
  type ServiceRunner,
} from "@lycheepulley/serving";
import type { Metrics } from "@lycheepulley/telemetry";

import type { Settings } from "./settings.js";

const DEFAULT_MAX_BODY_BYTES = 16_000_000;
const DEFAULT_KEEP_MS = 15_000;

export interface NodeApiOptions {
  readonly settings: Settings;
  readonly config: ConfigKeeper;
  readonly membership: Membership;
  readonly fates: FateRecorder;
  readonly prompts: PromptRunner;
  readonly services: ServiceRunner;
  readonly metrics: Metrics;
}

/** What one entry process offers to its callers. */
export class NodeApi implements ServingApi {
  readonly #options: NodeApiOptions;

  constructor(options: NodeApiOptions) {
    this.#options = options;
  }

  get maxBodyBytes(): number {
    return this.#options.config.current?.config.limits.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
  }

  get isFull(): boolean {
    return this.#options.fates.running >= this.#options.settings.maxInFlight;
  }

  authenticate(apiKey: string): string | undefined {
    const inForce = this.#options.config.current;
    return inForce ? findCustomer(inForce.config, apiKey) : undefined;
  }

  accept(customer: string): AcceptedRequest {
    const { fates, prompts, services } = this.#options;
    const trace = fates.begin(customer);
    return {
      requestId: trace.requestId,
      runPrompt: (req, sink) => prompts.run(trace, req, sink),
      runService: (req) => services.run(trace, req),
      refuse: (err) => {
        const isKnown = err instanceof PulleyError;
        const state = isKnown ? getFateState(err.verdict) : FateState.NotRun;
        trace.end(state, err instanceof Error ? err.message : String(err));
      },
    };
  }

  listModels(): readonly string[] {
    return Object.keys(this.#options.config.current?.config.models ?? {});
  }

  /** Live processes: the caller's own domain first, a customer's prefixes together. */
  getAddresses(customer: string, failureDomain: string | undefined): AddressAnswer {
    const { membership, config } = this.#options;
    const views = membership.getMembers().filter(({ state }) => state === NodeState.Live);
    const ranked = rankMembers(
      sha256(customer),
      views.map(({ report }) => report.name),
    );
    const ordered = ranked
      .flatMap((name) => views.find(({ report }) => report.name === name) ?? [])
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
      keepMs: config.current?.config.limits.addressKeepMs ?? DEFAULT_KEEP_MS,
    };
  }

  fetchFate(requestId: string): Promise<Fate | undefined> {
    const known = this.#options.fates.getFate(requestId);
    const parts = parseRequestId(requestId);
    if (known || !parts) {
      return Promise.resolve(known);
    }
    return Promise.resolve({
      requestId,
      state: FateState.Unknown,
      className: "",
      customer: "",
      acceptedMs: parts.atMs,
      steps: [],
      reason: `accepted by ${parts.process}, which this process has not asked`,
    });
  }

  getMetrics(): Promise<string> {
    return this.#options.metrics.getText();
  }
}
