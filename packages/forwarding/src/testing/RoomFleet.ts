import { SeededRandom } from "@lycheepulley/core";
import { newSilentLogger } from "@lycheepulley/telemetry";

import { AnswerTimeline } from "../AnswerTimeline.js";
import { getPassMs } from "../engineModel.js";
import type { EngineSpec, FleetConfig, ForwardCustomer, Upstream } from "../fleetConfig.js";
import { FleetView } from "../FleetView.js";
import { UpstreamLimits } from "../limits/UpstreamLimits.js";
import type { LoadItem } from "../load.js";
import { LoadTracker, type LoadChange } from "../LoadTracker.js";
import { Placer, type Placement, type PlacementFailure } from "../Placer.js";
import { newSharing } from "../PromptAdmission.js";
import type { ForwardRequest } from "../types.js";
import { UpstreamHealth } from "../UpstreamHealth.js";
import { ManualClock } from "./ManualClock.js";
import { newLoneSendQuota } from "./newLoneSendQuota.js";
import { ENGINE, newConfig, newRoute, newUpstream } from "./samples.js";

/** Time after which a change at one process is known to the others, milliseconds. */
const DEFAULT_LAG_MS = 2;
const HEARTBEAT_MS = 250;
const TIMEOUT_MS = 15_000;

/** A prompt that callers send to one of the processes. */
export interface Ask {
  readonly process?: number;
  readonly tokens: number;
  readonly outputTokens?: number;
  readonly timeoutMs?: number;
  readonly targetMs?: number;
  /** Equal for attempts of one caller. */
  readonly body?: string;
  readonly customer?: string;
}

/** What became of a prompt. */
export interface Asked {
  readonly abort: AbortController;
  placement: Placement | PlacementFailure | undefined;
  /** Time from its arrival to its placement or rejection. */
  decidedMs: number | undefined;
  /** Time after which the caller of a rejected prompt is told to return. */
  retryMs: number | undefined;
}

interface Process {
  readonly name: string;
  readonly view: FleetView;
  readonly loads: LoadTracker;
  readonly placer: Placer;
  seq: number;
  state: "up" | "frozen" | "killed";
}

/** Processes that place prompts on the same upstreams and tell each other, on a manual clock. */
export class RoomFleet {
  readonly clock = new ManualClock();
  readonly #engine: EngineSpec;
  readonly #config: FleetConfig;
  readonly #sharesRoom: boolean;
  readonly #lagMs: number;
  readonly #promisesRoom: boolean;
  readonly #processes: Process[] = [];
  #upstreams: Upstream[] = [];
  #version = 0;
  #nextId = 1;
  /** Most memory that any upstream had in use, as a share of what it has. */
  mostUsedShare = 0;
  /** Time for which answers go on after their expected end. */
  delayMs = 0;
  /** Reads messages as another build does; undefined for an item that it doesn't know. */
  readItem: (item: LoadItem) => LoadItem = (item) => item;

  constructor(options: {
    processes: number;
    upstreams: number;
    engine?: Partial<EngineSpec>;
    customers?: readonly ForwardCustomer[];
    sharesRoom?: boolean;
    lagMs?: number;
    promisesRoom?: boolean;
  }) {
    this.#promisesRoom = options.promisesRoom ?? true;
    this.#engine = { ...ENGINE, ...options.engine };
    const pools = [{ name: "p", engine: this.#engine }];
    this.#config = newConfig({ pools, customers: [...(options.customers ?? [])] });
    this.#sharesRoom = options.sharesRoom ?? false;
    this.#lagMs = options.lagMs ?? DEFAULT_LAG_MS;
    for (let index = 0; index < options.processes; index++) {
      this.#processes.push(this.#newProcess(`g${String(index)}`));
    }
    this.setUpstreams(Array.from({ length: options.upstreams }, (_, index) => `u${String(index)}`));
    this.#beat();
  }

  #newProcess(name: string): Process {
    const { clock } = this;
    const logger = newSilentLogger();
    const view = new FleetView();
    view.applyConfig(this.#config);
    const loads = new LoadTracker({
      clock,
      onOwnChange: (change) => {
        this.#tell(process, change);
      },
    });
    const limits = new UpstreamLimits({ clock, logger, onOwnChange: () => undefined });
    const placer = new Placer({
      ...{ clock, random: new SeededRandom(1), view, loadTracker: loads, logger },
      sharing: this.#sharesRoom ? newSharing({ clock, view, loadTracker: loads }) : undefined,
      ...{ health: new UpstreamHealth(clock), quota: newLoneSendQuota(clock, limits) },
      promisesRoom: this.#promisesRoom,
    });
    const process: Process = { name, view, loads, placer, seq: 0, state: "up" };
    return process;
  }

  #tell(from: Process, change: LoadChange): void {
    from.seq += 1;
    const { seq } = from;
    const changed = change.changed.map((item) => this.readItem(item));
    this.clock.setTimer(() => {
      this.#listPeers(from).forEach(({ loads }) => {
        loads.applyPeerChange(from.name, seq, { ...change, changed });
      });
    }, this.#lagMs);
  }

  #listPeers(from: Process): Process[] {
    return from.state === "up" ? this.#processes.filter((process) => process !== from) : [];
  }

  #beat(): void {
    for (const from of this.#processes) {
      const items = from.loads.own.map((item) => this.readItem(item));
      from.seq += 1;
      this.#listPeers(from).forEach(({ loads }) => {
        loads.recordHeartbeat(from.name, HEARTBEAT_MS);
        loads.replacePeer(from.name, from.seq, items);
      });
    }
    this.clock.setTimer(() => {
      this.#beat();
    }, HEARTBEAT_MS);
  }

  setUpstreams(ids: readonly string[]): void {
    this.#upstreams = ids.map((id) => newUpstream(id, { slots: this.#engine.slots }));
    this.#version += 1;
    for (const { view } of this.#processes) {
      const list = { version: this.#version, upstreams: this.#upstreams };
      view.applyUpstreams(list, this.clock.now(), new Set());
    }
  }

  /** Ends or freezes a process: it tells the others nothing more. */
  stop(index: number, state: "frozen" | "killed"): void {
    const process = this.#processes[index];
    if (process) {
      process.state = state;
    }
  }

  wake(index: number): void {
    const process = this.#processes[index];
    if (process) {
      process.state = "up";
    }
  }

  getLoads(index = 0): ReturnType<LoadTracker["getLoads"]> {
    return this.#processes[index]?.loads.getLoads() ?? new Map();
  }

  getRoom(index = 0): Placer["room"]["counts"] | undefined {
    return this.#processes[index]?.placer.room.counts;
  }

  /** Sends a prompt; once placed, its answer ends when it was expected to. */
  ask(ask: Ask): Asked {
    const process = this.#processes[ask.process ?? 0];
    const abort = new AbortController();
    const asked: Asked = { abort, ...UNDECIDED };
    if (process) {
      void this.#place(process, ask, asked);
    }
    return asked;
  }

  async #place(process: Process, ask: Ask, asked: Asked): Promise<void> {
    const startMs = this.clock.now();
    const req = this.#newRequest(ask, asked.abort.signal);
    const query = { req, pool: "p", excluded: new Set<string>(), isApart: false };
    const timeline = new AnswerTimeline(startMs, req.route);
    const deadlineAtMs = startMs + req.route.timeoutMs;
    const { signal } = asked.abort;
    asked.placement = await process.placer.find({ ...query, timeline, deadlineAtMs, signal });
    asked.decidedMs = this.clock.now() - startMs;
    if (typeof asked.placement === "string") {
      asked.retryMs = process.placer.getRetryMs(query, asked.placement);
      return;
    }
    this.#measure();
    this.#run(process, req, asked.placement);
  }

  #run(process: Process, { head }: ForwardRequest, { plan }: Placement): void {
    const passes = Math.ceil(head.outputTokens / this.#engine.stepsPerPass);
    const passMs = getPassMs(this.#engine, 1, head.promptTokens);
    this.clock.setTimer(() => {
      process.loads.startWriting(head.attemptId);
      const endMs = passes * passMs + this.delayMs;
      this.clock.setTimer(() => {
        process.loads.removeOwn(head.attemptId);
      }, endMs);
    }, plan?.firstEventMs ?? 0);
  }

  /** Notes the memory in use, of all processes' requests. */
  #measure(): void {
    const used = new Map<string, number>();
    const add = (id: string, tokens: number): void => {
      used.set(id, (used.get(id) ?? 0) + tokens);
    };
    for (const item of this.#processes.flatMap(({ loads }) => loads.own)) {
      if (!item.promise) {
        add(item.upstream, item.kvTokens);
        item.helpers.forEach((id, index) => {
          add(id, item.heldTokens[index] ?? 0);
        });
      }
    }
    const most = Math.max(...used.values());
    this.mostUsedShare = Math.max(this.mostUsedShare, most / this.#engine.kvTokens);
  }

  #newRequest(ask: Ask, signal: AbortSignal): ForwardRequest {
    const id = `a${String(this.#nextId++)}`;
    const timeoutMs = ask.timeoutMs ?? TIMEOUT_MS;
    const targetMs = ask.targetMs ?? 4_000;
    return {
      head: {
        ...{ attemptId: id, method: "POST", path: "/a/", host: "h", headers: [] },
        ...{ deadlineMs: undefined, apiKey: undefined, lastEventId: undefined, sharedParts: [] },
        ...{ promptTokens: ask.tokens, outputTokens: ask.outputTokens ?? 800 },
      },
      route: newRoute({ isStream: true, maxGapMs: 1_000, targetMs, timeoutMs }),
      ...{ body: Buffer.alloc(0), customer: ask.customer, priority: 1, revision: 1 },
      ...{ receivedMs: this.clock.now(), fingerprint: ask.body ?? id, signal },
    };
  }
}

const UNDECIDED = { placement: undefined, decidedMs: undefined, retryMs: undefined };
