import type { Clock, Random } from "@lycheepulley/core";
import type {
  FleetConfig,
  Upstream,
  UpstreamControl,
  UpstreamTransport,
} from "@lycheepulley/forwarding";

import { CostPolicy, newCosts } from "./costPolicies.js";
import { DomainSpread } from "./DomainSpread.js";
import { getPace, withPace } from "./enginePaces.js";
import { newFleetConfig, POOL } from "./fleetConfig.js";
import type { FleetUtilization, LimitPeriod } from "./fleetRecords.js";
import { GatewayNetwork, NETWORK_MS } from "./GatewayNetwork.js";
import type { Incident, Pattern } from "./pattern.js";
import { SimulatedGateway } from "./SimulatedGateway.js";
import { SimulatedUpstream, UpstreamState } from "./SimulatedUpstream.js";
import type { WorkerModel } from "./WorkerModel.js";

/** Time until the gateways know that the list of upstreams changed. */
const LIST_LAG_MS = 120;
/** The same for one that becomes cold again. */
const COLD_LIST_MS = 550;
/** Time between an upstream's notice that it leaves and its end. */
const DRAIN_MS = 2_800;
/** Time between the end of an upstream and its successor's start. */
const SUCCESSOR_MS = 300;
/** Time until a crashed upstream is missing on the list. */
const CRASH_LIST_MS = 2_500;

/** Gateways and upstreams of a pattern, and the incidents that they go through. */
export class SimulatedFleet {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #pattern: Pattern;
  readonly #costPolicy: CostPolicy;
  readonly #config: FleetConfig;
  readonly #upstreams = new Map<string, SimulatedUpstream>();
  readonly #leaving = new Set<string>();
  readonly #network: GatewayNetwork;
  /** Failure domains of processes and upstreams, and what crosses between them. */
  readonly domains: DomainSpread;
  /** Entry processes that are up. */
  gateways: readonly SimulatedGateway[] = [];
  /** Times during which upstreams named limits. */
  readonly limitPeriods: LimitPeriod[] = [];
  /** Times at which a part of prompts crashed upstreams. */
  readonly partCrashes: number[] = [];
  #nextUpstream = 0;
  #incarnation = 0;

  constructor(
    pattern: Pattern,
    clock: Clock,
    random: Random,
    costPolicy: CostPolicy = CostPolicy.Quantiles,
  ) {
    this.#pattern = pattern;
    this.#costPolicy = costPolicy;
    this.#clock = clock;
    this.#random = random;
    this.domains = new DomainSpread(pattern.spread, clock, random);
    this.#network = new GatewayNetwork(clock, () => this.gateways, pattern);
    this.#config = newFleetConfig(pattern);
    for (let count = 0; count < pattern.upstreams; count++) {
      this.#addUpstream();
    }
    this.#startGateways();
    this.#network.sendHeartbeats();
    this.#network.sendCosts();
    this.#network.observeQuotas();
    pattern.incidents.forEach((incident) => {
      clock.setTimer(() => {
        this.#begin(incident);
      }, incident.atMs);
    });
  }

  /** A random gateway that accepts callers; undefined while all are down. */
  pickGateway(): SimulatedGateway | undefined {
    return this.domains.pick(this.gateways);
  }

  /** False once the gateway's process has ended. */
  isUp(gateway: SimulatedGateway): boolean {
    return this.gateways.includes(gateway);
  }

  /** Work at the serving upstreams now. */
  getUtilization(): FleetUtilization {
    const models = [...this.#upstreams.values()]
      .filter(({ state }) => state === UpstreamState.Serving)
      .map(({ model }) => model);
    const sum = (count: (model: WorkerModel) => number): number =>
      models.reduce((total, model) => total + count(model), 0);
    return {
      upstreams: models.length,
      running: sum(({ running }) => running),
      queued: sum(({ queued }) => queued),
      helping: sum(({ helperJobs }) => helperJobs),
      prefillMs: Math.round(sum(({ pendingPrefillMs }) => pendingPrefillMs)),
    };
  }

  #begin(incident: Incident): void {
    switch (incident.kind) {
      case "replace":
        for (let at = 0; at < incident.count; at++) {
          this.#clock.setTimer(() => {
            this.#retire(true);
          }, at * incident.gapMs);
        }
        return;
      case "scaleIn":
        for (let at = 0; at < incident.count; at++) {
          this.#retire(false);
        }
        return;
      case "crash":
        for (let at = 0; at < incident.count; at++) {
          this.#crash(incident.backMs);
        }
        return;
      case "crashingPart":
        // Callers send the prompts.
        return;
      case "limit":
        for (let at = 0; at < incident.count; at++) {
          this.#limit(incident);
        }
        return;
      case "coldReturn":
        for (let at = 0; at < incident.count; at++) {
          this.#cool(this.#pickServing(({ coldUntilMs }) => coldUntilMs < this.#clock.now()));
        }
        this.#announceList(COLD_LIST_MS);
        return;
      case "restart":
        this.gateways = [];
        this.#clock.setTimer(() => {
          this.#startGateways();
        }, incident.downMs);
    }
  }

  #startGateways(): void {
    this.#incarnation += 1;
    const incarnation = this.#incarnation;
    const transport: UpstreamTransport = {
      open: (req, observer) => {
        const upstream = this.#findByPort(req.port);
        if (!upstream) {
          throw new Error(`no upstream listens at port ${String(req.port)}`);
        }
        return upstream.open(req.headers, observer);
      },
    };
    this.gateways = Array.from({ length: this.#pattern.processes }, (_, index) => {
      const name = `g${String(index)}-${String(incarnation)}`;
      const failureDomain = this.domains.get(index);
      const gateway = new SimulatedGateway({
        ...{ failureDomain, nearDomain: this.#pattern.spread?.weighs ? failureDomain : undefined },
        costs: newCosts(this.#costPolicy, this.#clock, (id) => getPace(this.#pattern, id)),
        ...{ name, clock: this.#clock, random: this.#random, config: this.#config },
        transport: this.domains.watch(transport, failureDomain, (port) => this.#findByPort(port)),
        ...{ control: this.#newControl(), processes: this.#pattern.processes },
        sharesRoom: this.#pattern.sharesRoom ?? false,
        getMembers: () => this.#network.getMembers(name),
        onUpstreamDead: (upstream) => {
          this.#network.sendDead(name, upstream);
        },
        getLoadLagMs: () => this.#network.loadLagMs,
        peerLoads: this.#network.newPeerLoads(name),
        quotaPeers: this.#network.newQuotaPeers(name),
        trialPeers: this.#network.newTrialPeers(name),
        onCrashNews: (report) => {
          this.#network.sendEvidence(name, report);
        },
        onCold: (reports) => {
          this.#network.sendCold(name, reports);
        },
        onLimitChange: (report) => {
          this.#network.sendLimit(name, report);
        },
        onLoadChange: (seq, change) => {
          this.#network.sendLoadChange(name, seq, change);
        },
      });
      gateway.applyUpstreams(this.#list());
      return gateway;
    });
  }

  #newControl(): UpstreamControl {
    return {
      isAlive: ({ id }) =>
        Promise.resolve(this.#upstreams.get(id)?.state === UpstreamState.Serving),
      reserve: ({ id }, { id: reservation, tokens, holdMs }) =>
        Promise.resolve(
          this.#upstreams.get(id)?.model.reserve(reservation, tokens, holdMs) ?? false,
        ),
      release: ({ id }, reservation) => {
        this.#upstreams.get(id)?.model.release(reservation);
        return Promise.resolve();
      },
    };
  }

  #addUpstream(): void {
    const index = this.#nextUpstream++;
    const { engine, chunkTokens, queueSlots } = this.#pattern;
    const upstream: Upstream = {
      ...{ id: `u${String(index)}`, pool: POOL, host: "upstream", port: index + 1 },
      ...{ failureDomain: this.domains.get(index), slots: engine.slots, isLeaving: false },
    };
    this.#upstreams.set(
      upstream.id,
      new SimulatedUpstream({
        ...{ clock: this.#clock, upstream, delayMs: NETWORK_MS },
        spec: { ...withPace(engine, getPace(this.#pattern, upstream.id)), chunkTokens, queueSlots },
        find: (id) => this.#upstreams.get(id),
        onCrash: () => {
          this.#crashByPart(upstream.id);
        },
      }),
    );
    if (this.#clock.now() > 0) {
      this.#cool(this.#upstreams.get(upstream.id));
    }
    this.#announceList();
  }

  #cool(upstream: SimulatedUpstream | undefined): void {
    if (this.#pattern.cold) {
      upstream?.cool(this.#pattern.cold);
    }
  }

  /** Times at which requests arrived at each upstream while it was cold. */
  getColdArrivals(): (readonly number[])[] {
    return [...this.#upstreams.values()].map(({ coldArrivals }) => coldArrivals);
  }

  /** Announces that an upstream leaves, ends it after the drain time, and may start a successor. */
  #retire(isReplaced: boolean): void {
    const upstream = this.#pickServing();
    if (!upstream) {
      return;
    }
    const { id } = upstream.upstream;
    this.#leaving.add(id);
    this.#announceList();
    this.#clock.setTimer(() => {
      upstream.end(UpstreamState.Ended);
      this.#announceList();
      if (isReplaced) {
        this.#clock.setTimer(() => {
          this.#addUpstream();
        }, SUCCESSOR_MS);
      }
    }, DRAIN_MS);
  }

  #crash(backMs: number): void {
    const upstream = this.#pickServing();
    if (!upstream) {
      return;
    }
    upstream.end(UpstreamState.Dead);
    this.#clock.setTimer(() => {
      upstream.end(UpstreamState.Ended);
      this.#announceList();
    }, CRASH_LIST_MS);
    this.#clock.setTimer(() => {
      this.#addUpstream();
    }, backMs);
  }

  /** Ends an upstream with its connections; the list drops it later. */
  #crashByPart(id: string): void {
    const upstream = this.#upstreams.get(id);
    if (upstream?.state !== UpstreamState.Serving) {
      return;
    }
    this.partCrashes.push(this.#clock.now());
    upstream.end(UpstreamState.Ended);
    this.#announceList(CRASH_LIST_MS);
    const incident = this.#pattern.incidents.find(({ kind }) => kind === "crashingPart");
    const backMs = incident?.kind === "crashingPart" ? incident.backMs : CRASH_LIST_MS;
    this.#clock.setTimer(() => {
      this.#addUpstream();
    }, backMs);
  }

  /** Times at which prompts with the crashing part arrived at upstreams. */
  getCrashingArrivals(): number[] {
    return [...this.#upstreams.values()].flatMap(({ crashingArrivals }) => crashingArrivals);
  }

  /** Has an upstream without a limit name one for some time. */
  #limit({ perSecond, forMs }: Extract<Incident, { kind: "limit" }>): void {
    const upstream = this.#pickServing(({ limitPerSecond }) => limitPerSecond === undefined);
    if (!upstream) {
      return;
    }
    upstream.limitPerSecond = perSecond;
    const fromMs = this.#clock.now();
    const period = { arrivals: upstream.arrivals, perSecond, fromMs, untilMs: fromMs + forMs };
    this.limitPeriods.push(period);
    this.#clock.setTimer(() => {
      upstream.limitPerSecond = undefined;
    }, forMs);
  }

  #pickServing(
    isWanted: (upstream: SimulatedUpstream) => boolean = () => true,
  ): SimulatedUpstream | undefined {
    const serving = [...this.#upstreams.values()].filter(
      (candidate) =>
        candidate.state === UpstreamState.Serving &&
        !this.#leaving.has(candidate.upstream.id) &&
        isWanted(candidate),
    );
    return serving[Math.floor(this.#random.next() * serving.length)];
  }

  #announceList(lagMs = LIST_LAG_MS): void {
    this.#clock.setTimer(() => {
      const list = this.#list();
      this.gateways.forEach((gateway) => {
        gateway.applyUpstreams(list);
      });
    }, lagMs);
  }

  #list(): Upstream[] {
    return [...this.#upstreams.values()]
      .filter(({ state }) => state !== UpstreamState.Ended)
      .map(({ upstream, coldUntilMs }) => ({
        ...{ ...upstream, isLeaving: this.#leaving.has(upstream.id) },
        coldMs: Math.max(0, coldUntilMs - this.#clock.now()),
      }));
  }

  #findByPort(port: number): SimulatedUpstream | undefined {
    return this.#upstreams.get(`u${String(port - 1)}`);
  }
}
