import {
  checkBundle,
  RecordKind,
  RegisterFold,
  SeededRandom,
  TokenBucket,
  VmRole,
  VmState,
  type ConfigBundle,
  type LogEntry,
  type Protections,
  type Vm,
  type VmList,
} from "@lycheepulley/core";
import { FoldReader, LogWriter, Proposer } from "@lycheepulley/log";
import { ConfigPublisher } from "@lycheepulley/operators";
import { CONFIG_KEY, CONTROL_STREAM, getClaimStream } from "@lycheepulley/serving";

import { FakeEngine } from "./FakeEngine.js";
import { FakeLog } from "./FakeLog.js";
import { FakeService } from "./FakeService.js";
import { MatrixClock, ProcessClock } from "./MatrixClock.js";
import { MatrixProcess } from "./MatrixProcess.js";

/** Shorter than a pause, so that a woken process meets a passed deadline. */
export const SAVE_PATIENCE_MS = 7_000;

const VM_LIST_LAG_MS = 500;
const START_LIMIT_MS = 8_000;

/** Configuration of every cell. */
export const newBundle = (version: string): ConfigBundle => ({
  base: {
    fleet: "matrix",
    sites: ["a", "b", "c"],
    models: {
      m: {
        ...{ pool: "m", version, contextTokens: 100_000, engineKvTokens: 100_000 },
        ...{ prefillTokensPerS: 20_000, minEngines: 1, fencing: "enforced" },
      },
    },
    services: {
      s: {
        pool: "s",
        timeoutMs: SAVE_PATIENCE_MS,
        nonIdempotent: [{ method: "POST", pathPrefix: "/save" }],
      },
    },
    classes: {
      quick: { patienceMs: 15_000, priority: 1, maxPromptTokens: 50_000, models: ["m"] },
      once: {
        ...{ patienceMs: 15_000, priority: 1, maxPromptTokens: 50_000, models: ["m"] },
        nonIdempotent: true,
      },
    },
    customers: { c: { keySha256: "0".repeat(64) } },
    limits: {
      ...{ claimShards: 2, addressKeepMs: 1_000, claimWindowMs: 60_000, logRetentionMs: 120_000 },
      retryShare: 1,
    },
  },
  overlays: {},
});

/** One cell's world: three entry processes, three engines, two service instances. */
export class World {
  readonly clock = new MatrixClock();
  readonly log = new FakeLog(this.clock);
  readonly engines: readonly FakeEngine[];
  readonly services: readonly FakeService[];
  readonly processes: MatrixProcess[];
  readonly protections: Protections;
  readonly #leavingSinceMs = new Map<string, number>();
  #list: VmList;
  #operators = 0;

  constructor(seed: number, protections: Protections) {
    const { clock } = this;
    this.protections = protections;
    this.engines = ["e1", "e2", "e3"].map(
      (name, i) => new FakeEngine({ name, clock, isFencing: i !== 1, version: "1" }),
    );
    this.services = ["s1", "s2"].map((name) => new FakeService(name, clock));
    this.#list = { version: 1, isDelta: false, vms: this.#newVms(), removed: [] };
    this.processes = ["a", "b", "c"].map(
      (domain, i) =>
        new MatrixProcess({ world: this, name: `p${String(i + 1)}`, domain, index: i, seed }),
    );
  }

  get vmList(): VmList {
    return this.#list;
  }

  get liveProcesses(): MatrixProcess[] {
    return this.processes.filter(({ clock }) => !clock.isDead);
  }

  /** Monotonic time since which an engine is on the list as leaving. */
  getLeavingSinceMs(engine: string): number | undefined {
    return this.#leavingSinceMs.get(engine);
  }

  /** Publishes the first configuration and waits until every process serves. */
  async start(): Promise<void> {
    void this.publish("1", "first");
    this.processes.forEach((process) => {
      process.start();
    });
    await this.clock.advance(START_LIMIT_MS, () =>
      this.processes.every(({ node }) => node.cfg && node.membership.getLive().length === 3),
    );
  }

  /** Publishes a configuration as one operator; resolves with what the log said. */
  async publish(version: string, note: string, follows?: number): Promise<boolean> {
    this.#operators += 1;
    const publisher = await this.#openOperator(`op${String(this.#operators)}`);
    const bundle = newBundle(version);
    if (checkBundle(bundle).length > 0) {
      throw new Error("the matrix's own configuration is invalid");
    }
    try {
      const result = await publisher.publish(
        {
          ...{ bundle, changeId: `${note}-${version}`, by: note, note },
          follows: follows ?? publisher.current?.version ?? 0,
        },
        20_000,
      );
      return result.accepted;
    } catch {
      return false;
    }
  }

  /** Puts an engine on the list as leaving. */
  markEngineLeaving(engine: string): void {
    this.#leavingSinceMs.set(engine, this.clock.now());
    this.clock.setTimer(() => {
      const vms = this.#list.vms.map((vm) =>
        vm.id === engine ? { ...vm, state: VmState.Leaving } : vm,
      );
      this.#list = { ...this.#list, version: this.#list.version + 1, vms };
    }, VM_LIST_LAG_MS);
  }

  /** Revision that the log holds now, folded afresh. */
  getCommittedRevision(): number {
    return this.foldStream(CONTROL_STREAM).getVersion(RecordKind.Config, CONFIG_KEY);
  }

  foldStream(stream: string): RegisterFold {
    const fold = new RegisterFold({ protections: this.protections });
    this.log.getEntries(stream).forEach((entry: LogEntry) => fold.mutateWithEntry(entry));
    return fold;
  }

  getClaimStreams(): string[] {
    return [0, 1].map(getClaimStream);
  }

  async #openOperator(name: string): Promise<ConfigPublisher> {
    const clock = new ProcessClock(this.clock);
    const log = this.log.newClient((work) => clock.settleWhenRunning(work));
    const fold = new RegisterFold({ protections: this.protections });
    const reader = new FoldReader({ log, stream: CONTROL_STREAM, clock, fold });
    const budget = new TokenBucket({ clock, ratePerS: 100, burst: 10 });
    const random = new SeededRandom(this.#operators);
    const writer = new LogWriter({
      ...{ log, stream: CONTROL_STREAM, clock, random, writer: name, budget },
    });
    reader.start();
    await reader.waitCaughtUp();
    // The cell ends the operator's reader with its clock.
    this.clock.setTimer(() => {
      clock.kill();
    }, 60_000);
    return new ConfigPublisher(new Proposer({ writer, reader, clock, writerName: name }));
  }

  #newVms(): Vm[] {
    const common = { host: "h", state: VmState.Live };
    const engines = this.engines.map(({ name }, i): Vm => ({
      ...{ ...common, id: name, role: VmRole.Engine, pool: "m", port: 100 + i, failureDomain: "a" },
    }));
    const services = this.services.map(({ name }, i): Vm => ({
      ...{
        ...common,
        id: name,
        role: VmRole.Service,
        pool: "s",
        port: 200 + i,
        failureDomain: "a",
      },
    }));
    const entries = ["a", "b", "c"].map((failureDomain, i): Vm => ({
      ...{ ...common, id: `p${String(i + 1)}`, role: VmRole.Entry, pool: "entry", failureDomain },
      ...{ port: 300 + i, controlPort: 400 + i },
    }));
    return [...engines, ...services, ...entries];
  }
}
