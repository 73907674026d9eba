import type { Clock, Random } from "@lycheepulley/core";
import type { UpstreamTransport } from "@lycheepulley/forwarding";

import type { DomainSpreadSpec } from "./pattern.js";
import { readFields } from "./simulatedDialect.js";
import type { SimulatedGateway } from "./SimulatedGateway.js";
import type { SimulatedUpstream } from "./SimulatedUpstream.js";

/** A prompt that a process sent to an upstream. */
export interface DomainSend {
  readonly atMs: number;
  /** Failure domain of the process. */
  readonly from: string;
  /** Failure domain of the upstream that decodes the answer. */
  readonly to: string;
  readonly promptTokens: number;
  /** Helpers in the failure domain of the process, and in others. */
  readonly helpers: { readonly near: number; readonly far: number };
}

/** Spreads processes, upstreams and callers over failure domains. */
export class DomainSpread {
  readonly #spec: DomainSpreadSpec | undefined;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly sends: DomainSend[] = [];

  constructor(spec: DomainSpreadSpec | undefined, clock: Clock, random: Random) {
    this.#spec = spec;
    this.#clock = clock;
    this.#random = random;
  }

  /** Failure domain of the process or upstream with this number. */
  get(index: number): string {
    return this.#spec ? `d${String(index % this.#spec.domains)}` : "z";
  }

  /** A process for a caller, by the waves of the callers' failure domains. */
  pick(gateways: readonly SimulatedGateway[]): SimulatedGateway | undefined {
    const own = this.#spec ? gateways.filter(this.#newDomainFilter(this.#spec)) : gateways;
    return own[Math.floor(this.#random.next() * own.length)];
  }

  #newDomainFilter({
    domains,
    periodMs,
    swing,
  }: DomainSpreadSpec): (gateway: SimulatedGateway) => boolean {
    const turn = this.#clock.now() / periodMs;
    const weights = Array.from(
      { length: domains },
      (_, at) => 1 + swing * Math.sin(2 * Math.PI * (turn + at / domains)),
    );
    let left = this.#random.next() * weights.reduce((sum, weight) => sum + weight, 0);
    const at = weights.findIndex((weight) => (left -= weight) < 0);
    return ({ failureDomain }) => failureDomain === this.get(Math.max(0, at));
  }

  /** Records the sends of a process in a failure domain. */
  watch(
    transport: UpstreamTransport,
    from: string,
    find: (port: number) => SimulatedUpstream | undefined,
  ): UpstreamTransport {
    return {
      open: (req, observer) => {
        const { promptTokens, helpers } = readFields(req.headers);
        const domains = helpers.map((id) => this.get(Number(id.slice(1))));
        const near = domains.filter((domain) => domain === from).length;
        this.sends.push({
          ...{ atMs: this.#clock.now(), from, promptTokens },
          to: find(req.port)?.upstream.failureDomain ?? "",
          helpers: { near, far: domains.length - near },
        });
        return transport.open(req, observer);
      },
    };
  }
}
