import type { Clock, Random } from "@lycheepulley/core";
import {
  ColdUpstreams,
  CrashEvidence,
  type ColdReport,
  type CostBook,
  type CostSummary,
  type EstimateError,
  FleetView,
  Forwarder,
  LoadTracker,
  LossWatch,
  CrashGuard,
  QuotaOwner,
  ReservationManager,
  RetryBudget,
  SendQuota,
  TrialOwner,
  UpstreamHealth,
  UpstreamLimits,
  UpstreamRests,
  UpstreamWatch,
  type AnswerWriter,
  type CrashReport,
  type FleetConfig,
  type ForwardRequest,
  type LimitReport,
  type LoadChange,
  type QuotaAnswer,
  type Members,
  type PeerLoads,
  type QuotaPeers,
  type TrialAnswer,
  type TrialPeers,
  type TrialKey,
  type TrialRequest,
  type Upstream,
  type UpstreamControl,
  type UpstreamTransport,
} from "@lycheepulley/forwarding";
import { newSilentLogger } from "@lycheepulley/telemetry";

import { SimulatedDialect } from "./simulatedDialect.js";

const RETRY_LIMITS = { ratio: 0.2, windowMs: 10_000, slack: 100 };

/** One entry process: the real decision modules, with simulated upstreams and peers. */
export class SimulatedGateway {
  readonly name: string;
  readonly failureDomain: string;
  readonly #clock: Clock;
  readonly #view = new FleetView();
  readonly #health: UpstreamHealth;
  readonly #loadTracker: LoadTracker;
  readonly #forwarder: Forwarder;
  readonly #limits: UpstreamLimits;
  readonly #cold: ColdUpstreams;
  readonly #quotaOwner: QuotaOwner;
  readonly #evidence: CrashEvidence;
  readonly #trialOwner: TrialOwner;
  readonly #watch: UpstreamWatch;
  readonly #losses: LossWatch;
  readonly #costs: CostBook | undefined;
  #seq = 0;
  #listVersion = 0;

  constructor(options: {
    name: string;
    failureDomain: string;
    /** Failure domain whose upstreams are near; undefined where distance doesn't count. */
    nearDomain: string | undefined;
    clock: Clock;
    random: Random;
    config: FleetConfig;
    transport: UpstreamTransport;
    control: UpstreamControl;
    processes: number;
    onCold: (reports: readonly ColdReport[]) => void;
    onLimitChange: (report: LimitReport) => void;
    quotaPeers: QuotaPeers;
    onCrashNews: (report: CrashReport) => void;
    trialPeers: TrialPeers;
    getMembers: () => Members;
    onLoadChange: (seq: number, change: LoadChange) => void;
    getLoadLagMs: () => number;
    peerLoads: PeerLoads;
    onUpstreamDead: (upstream: string) => void;
    costs: CostBook | undefined;
    sharesRoom: boolean;
  }) {
    const { clock, random, transport, control } = options;
    this.name = options.name;
    this.failureDomain = options.failureDomain;
    this.#costs = options.costs;
    this.#clock = clock;
    this.#health = new UpstreamHealth(clock);
    this.#loadTracker = new LoadTracker({
      clock,
      getLagMs: options.getLoadLagMs,
      onOwnChange: (change) => {
        this.#seq += 1;
        options.onLoadChange(this.#seq, change);
      },
    });
    this.#view.applyConfig(options.config);
    const logger = newSilentLogger();
    const limits = new UpstreamLimits({ clock, logger, onOwnChange: options.onLimitChange });
    const rests = new UpstreamRests({ clock, random, logger });
    const { getMembers } = options;
    this.#limits = limits;
    const cold = new ColdUpstreams({ clock, logger, onNews: options.onCold });
    this.#cold = cold;
    this.#quotaOwner = new QuotaOwner({ clock, limits, cold, getMembers });
    const quota = new SendQuota({
      ...{ clock, limits, cold, rests, owner: this.#quotaOwner, peers: options.quotaPeers },
      ...{ getMembers, logger },
    });
    const evidence = new CrashEvidence({ clock, logger, onNews: options.onCrashNews });
    this.#evidence = evidence;
    this.#trialOwner = new TrialOwner({ clock, evidence });
    const guard = new CrashGuard({
      ...{ clock, evidence, owner: this.#trialOwner, peers: options.trialPeers },
      ...{ getMembers, logger },
    });
    this.#watch = new UpstreamWatch({
      ...{ clock, random, view: this.#view, health: this.#health, logger },
      probe: (upstream) => control.isAlive(upstream),
      tellPeers: options.onUpstreamDead,
    });
    this.#losses = new LossWatch({
      ...{ clock, view: this.#view, logger, tellPeers: () => undefined },
      probe: (upstream) => control.isAlive(upstream),
    });
    this.#forwarder = new Forwarder({
      sharesRoom: options.sharesRoom,
      ...{ clock, random, transport, control, logger, view: this.#view },
      ...{
        health: this.#health,
        watch: this.#watch,
        losses: this.#losses,
        loadTracker: this.#loadTracker,
        peerLoads: options.peerLoads,
        nearDomain: options.nearDomain,
        dialect: new SimulatedDialect(),
      },
      retryBudget: new RetryBudget({
        ...{ clock, limits: RETRY_LIMITS },
        getProcessCount: () => options.processes,
      }),
      ...{ limits, cold, rests, quota, guard, costs: options.costs, promisesRoom: true },
      onLeaving: () => undefined,
      reservations: new ReservationManager({ clock, control, logger }),
      onEnd: () => undefined,
    });
  }

  forward(req: ForwardRequest, writer: AnswerWriter): Promise<void> {
    return this.#forwarder.forward(req, writer);
  }

  applyPeerChange(peer: string, seq: number, change: LoadChange): void {
    this.#loadTracker.applyPeerChange(peer, seq, change);
  }

  applyPeerDead(peer: string, upstream: string): void {
    this.#watch.recordPeer(upstream, peer);
  }

  applyPeerLimit(peer: string, report: LimitReport): void {
    this.#limits.recordPeer(peer, report);
  }

  applyPeerCold(peer: string, reports: readonly ColdReport[]): void {
    reports.forEach((report) => {
      this.#cold.recordPeer(peer, report);
    });
  }

  /** Answers a peer that asks for one send to an upstream with a limit. */
  takeForPeer(peer: string, limit: LimitReport, cold?: ColdReport): QuotaAnswer {
    return this.#quotaOwner.takeForPeer(peer, limit, cold);
  }

  applyEvidence(peer: string, report: CrashReport): void {
    this.#evidence.recordPeer(peer, report);
  }

  /** Answers a peer that asks for the trial of a suspect part. */
  takeTrialForPeer(peer: string, req: TrialRequest): TrialAnswer {
    this.#evidence.recordPeer(peer, req.report);
    return this.#trialOwner.take(peer, req);
  }

  endTrial(trial: TrialKey): void {
    this.#trialOwner.end(trial);
  }

  observeQuotas(): void {
    this.#quotaOwner.observe();
  }

  applyUpstreams(upstreams: readonly Upstream[]): void {
    this.#listVersion += 1;
    const list = { version: this.#listVersion, upstreams: [...upstreams] };
    this.#view.applyUpstreams(list, this.#clock.now(), new Set());
    this.#losses.onList();
    const ids = new Set(this.#view.upstreams.keys());
    this.#health.retain(ids);
    this.#limits.retain(ids);
    this.#cold.retain(ids);
    this.#cold.observe(upstreams, {
      isDirect: true,
      getColdStart: (pool) => this.#view.table?.findPool(pool)?.coldStart,
    });
    this.#costs?.paces.retain(ids);
  }

  /** What this process has learned of costs; undefined without costs. */
  getCosts(): CostSummary | undefined {
    return this.#costs?.getSummary();
  }

  /** Errors of this process's estimates. */
  getErrors(): readonly EstimateError[] {
    return this.#costs?.errors.all ?? [];
  }

  applyCosts(summary: CostSummary): void {
    this.#costs?.recordPeer(summary);
  }

  /** Keeps peers from taking this process for silent. */
  get loads(): LoadTracker {
    return this.#loadTracker;
  }
}
