import { ProcessLifecycle, SeededRandom, sleep } from "@lycheepulley/core";
import { AnswerCosts, newSilentLogger } from "@lycheepulley/telemetry";
import type { InvalidAnswer } from "../answerProgress.js";
import type { Route } from "../fleetConfig.js";
import { FleetView } from "../FleetView.js";
import { Forwarder } from "../Forwarder.js";
import { UpstreamLimits } from "../limits/UpstreamLimits.js";
import { LoadTracker } from "../LoadTracker.js";
import { LossWatch } from "../LossWatch.js";
import { RetryBudget } from "../RetryBudget.js";
import { FakeCaller, FakeDialect, FakeTransport } from "./FakeUpstreams.js";
import { ManualClock } from "./ManualClock.js";
import { newLoneGuard } from "./newLoneGuard.js";
import { newLoneSendQuota, newRests } from "./newLoneSendQuota.js";
import { newConfig, newItem, newRoute, newUpstream } from "./samples.js";
import { ReservationManager } from "../ReservationManager.js";
import { UpstreamHealth } from "../UpstreamHealth.js";
import { UpstreamWatch } from "../UpstreamWatch.js";

export const STREAM: Partial<Route> = { isStream: true, isResumable: true, maxGapMs: 250 };
export const SAFE: Partial<Route> = { repeat: "idempotent", targetMs: 150, timeoutMs: 1_000 };
export const UNSAFE: Partial<Route> = { timeoutMs: 1_000 };

/** Time of a probe, with or without an answer. */
const PROBE_MS = 100;
/** Time for answers after the end of all sends. */
const CLOSE_MS = 150;

/** A forwarder with fake upstreams, a fake caller and a manual clock. */
export class ForwarderHarness {
  readonly clock = new ManualClock();
  readonly transport = new FakeTransport();
  readonly dialect = new FakeDialect();
  readonly caller = new FakeCaller();
  readonly view = new FleetView();
  readonly loadTracker = new LoadTracker({ clock: this.clock, onOwnChange: () => undefined });
  /** Calls that reserved or released KV memory. */
  readonly memoryCalls: string[] = [];
  isUpstreamAlive = true;
  hasMemory = true;
  /** Delay of the answers to reservations. */
  reserveDelayMs = 0;
  readonly limits = new UpstreamLimits({
    ...{ clock: this.clock, logger: newSilentLogger(), onOwnChange: () => undefined },
  });
  readonly rests = newRests(this.clock);
  readonly quota = newLoneSendQuota(this.clock, this.limits, this.rests);
  /** Upstreams of which the peers are told that they leave. */
  readonly toldLeaving: string[] = [];
  readonly guard = newLoneGuard(this.clock);
  /** Starts of upstreams of which the peers are told that they are lost. */
  readonly toldLost: string[] = [];
  /** Probes of upstreams that may be lost. */
  probes = 0;
  readonly losses = new LossWatch({
    ...{ clock: this.clock, view: this.view, logger: newSilentLogger() },
    probe: () => {
      this.probes += 1;
      return sleep(this.clock, PROBE_MS).then(() => this.isUpstreamAlive);
    },
    tellPeers: (startId) => {
      this.toldLost.push(startId);
    },
  });
  readonly answerCosts = new AnswerCosts();
  /** What was invalid in answers. */
  readonly invalid: InvalidAnswer[] = [];
  /** Shared parts of the prompts that this harness sends. */
  sharedParts: readonly string[] = [];
  readonly #abort = new AbortController();
  readonly #forwarder: Forwarder;
  readonly #retryBudget: RetryBudget;
  readonly #lifecycle = new ProcessLifecycle();

  constructor(
    upstreams = ["u0", "u1", "u2"],
    options: { readonly promisesRoom?: boolean | undefined } = {},
  ) {
    const { clock, transport, dialect, view, loadTracker } = this;
    const logger = newSilentLogger();
    view.applyConfig(newConfig());
    const list = upstreams.map((id, index) => newUpstream(id, { port: index + 1 }));
    view.applyUpstreams({ version: 1, upstreams: list }, 0, new Set());
    const control = {
      isAlive: () => Promise.resolve(this.isUpstreamAlive),
      reserve: (upstream: { id: string }, reservation: { id: string }) => {
        this.memoryCalls.push(`reserve ${upstream.id} ${reservation.id}`);
        return sleep(this.clock, this.reserveDelayMs).then(() => this.hasMemory);
      },
      release: (upstream: { id: string }, id: string) => {
        this.memoryCalls.push(`release ${upstream.id} ${id}`);
        return Promise.resolve();
      },
    };
    this.#retryBudget = new RetryBudget({
      clock,
      limits: { ratio: 0.2, windowMs: 10_000, slack: 100 },
      getProcessCount: () => 6,
    });
    const health = new UpstreamHealth(clock);
    this.#forwarder = new Forwarder({
      ...options,
      ...{ clock, transport, dialect, view, loadTracker, logger, control },
      lifecycle: this.#lifecycle,
      random: new SeededRandom(1),
      ...{ health, watch: this.#newWatch(health), losses: this.losses },
      limits: this.limits,
      ...{ rests: this.rests, quota: this.quota },
      onLeaving: (upstream) => {
        this.toldLeaving.push(upstream);
      },
      retryBudget: this.#retryBudget,
      guard: this.guard,
      reservations: new ReservationManager({ clock, control, logger }),
      answerCosts: this.answerCosts,
      onInvalid: (invalid) => this.invalid.push(invalid),
      onEnd: () => undefined,
    });
  }

  #newWatch(health: UpstreamHealth): UpstreamWatch {
    return new UpstreamWatch({
      ...{ clock: this.clock, random: new SeededRandom(1), view: this.view, health },
      probe: () => Promise.resolve(this.isUpstreamAlive),
      ...{ logger: newSilentLogger(), tellPeers: () => undefined },
    });
  }

  /** Has another request's prompt wait for its prefill at an upstream. */
  addPrefill(upstream: string): void {
    this.loadTracker.setOwn(newItem("other", { upstream, phase: "reading", readMs: 5_000 }));
  }

  /** Takes all retries that the budget allows now. */
  exhaustRetryBudget(): void {
    while (this.#retryBudget.trySpend("p"));
  }

  /** True when the request of this harness is taken for one that crashes upstreams. */
  get isBlocked(): boolean {
    return this.guard.evidence.getStanding([], "f").blocked !== undefined;
  }

  /** Forwards a request; resolves once it was sent or answered. */
  async request(route: Partial<Route>, promptTokens = 0): Promise<void> {
    void this.#forwarder.forward(
      {
        head: {
          ...{ attemptId: "a1", method: "POST", path: "/a/", host: "a.example", headers: [] },
          ...{ deadlineMs: 10_000, apiKey: undefined, promptTokens, outputTokens: 100 },
          lastEventId: undefined,
          sharedParts: this.sharedParts,
        },
        route: newRoute(route),
        ...{ body: Buffer.from("body"), customer: undefined, priority: 1, revision: 1 },
        ...{ receivedMs: this.clock.now(), fingerprint: "f", signal: this.#abort.signal },
      },
      this.caller,
    );
    await this.settle();
  }

  /** Has the process end in `leftMs`. */
  startDrain(leftMs: number): void {
    this.#lifecycle.leave(this.clock.now(), { listenMs: 0, drainMs: leftMs, closeMs: CLOSE_MS });
    this.#lifecycle.advance(this.clock.now(), 1);
    this.clock.setTimer(() => {
      this.#lifecycle.advance(this.clock.now(), 1);
    }, leftMs);
  }

  async settle(): Promise<void> {
    await this.clock.advance(0);
  }

  /** Disconnects the caller. */
  async disconnect(): Promise<void> {
    this.#abort.abort();
    await this.settle();
  }

  get sentTo(): string[] {
    return this.transport.calls.map(({ req }) => req.headers[1] ?? "");
  }

  get resumedAfter(): string | undefined {
    return this.transport.last.req.headers[3];
  }
}
