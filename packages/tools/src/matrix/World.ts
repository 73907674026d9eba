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

/** Shorter than a pause, so that a resumed process finds the deadline expired. */
export const SAVE_PATIENCE_MS = 7_000;

/** Time from a VM's change of state to its appearance in the VM list. */
const VM_LIST_LAG_MS = 500;
const START_TIMEOUT_MS = 8_000;

/** Creates the configuration of every cell, with the given version of its only model. */
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

/** Simulated fleet of one cell: three entry processes, three engines and two service instances. */
export class World {
  readonly clock = new MatrixClock();
  readonly log = new FakeLog(this.clock);
  readonly engines: readonly FakeEngine[];
  readonly services: readonly FakeService[];
  readonly processes: MatrixProcess[];
  readonly protections: Protections;
  /** Poisonous prompts so far, each of which gets a text of its own. */
  poisonCount = 0;
  readonly #leavingSinceMs = new Map<string, number>();
  #vmList: VmList;
  #operatorCount = 0;

  constructor(seed: number, protections: Protections) {
    const { clock } = this;
    this.protections = protections;
    this.engines = ["e1", "e2", "e3"].map(
      (name, i) => new FakeEngine({ name, clock, isFencing: i !== 1, version: "1" }),
    );
    this.services = ["s1", "s2"].map((name) => new FakeService(name, clock));
    this.#vmList = { version: 1, isDelta: false, vms: this.#newVms(), removed: [] };
    this.processes = ["a", "b", "c"].map(
      (domain, i) =>
        new MatrixProcess({ world: this, name: `p${String(i + 1)}`, domain, index: i, seed }),
    );
  }

  get vmList(): VmList {
    return this.#vmList;
  }

  get liveProcesses(): MatrixProcess[] {
    return this.processes.filter(({ clock }) => !clock.isDead);
  }

  /** Monotonic time at which an engine was marked as leaving. */
  getLeavingSinceMs(engine: string): number | undefined {
    return this.#leavingSinceMs.get(engine);
  }

  /**
   * Publishes the first configuration and waits until every process has it and sees the others
   * live.
   */
  async start(): Promise<void> {
    void this.publish("1", "first");
    this.processes.forEach((process) => {
      process.start();
    });
    await this.clock.advance(START_TIMEOUT_MS, () =>
      this.processes.every(({ node }) => node.cfg && node.membership.getLive().length === 3),
    );
  }

  /**
   * Publishes a configuration as a new operator; resolves with false if it is rejected or fails.
   */
  async publish(version: string, note: string, follows?: number): Promise<boolean> {
    this.#operatorCount += 1;
    const publisher = await this.#openOperator(`op${String(this.#operatorCount)}`);
    const bundle = newBundle(version);
    if (checkBundle(bundle).length > 0) {
      throw new Error("the configuration of the matrix is invalid");
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

  /** Marks an engine as leaving; the VM list shows it after its lag. */
  markEngineLeaving(engine: string): void {
    this.#leavingSinceMs.set(engine, this.clock.now());
    this.clock.setTimer(() => {
      const vms = this.#vmList.vms.map((vm) =>
        vm.id === engine ? { ...vm, state: VmState.Leaving } : vm,
      );
      this.#vmList = { ...this.#vmList, version: this.#vmList.version + 1, vms };
    }, VM_LIST_LAG_MS);
  }

  /** Configuration revision in force by the log, read without any process's state. */
  getCommittedRevision(): number {
    return this.foldStream(CONTROL_STREAM).getVersion(RecordKind.Config, CONFIG_KEY);
  }

  /** Folds all entries of a stream into new state. */
  foldStream(stream: string): RegisterFold {
    const fold = new RegisterFold({ protections: this.protections });
    this.log.getEntries(stream).forEach((entry: LogEntry) => fold.applyEntry(entry));
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
    const random = new SeededRandom(this.#operatorCount);
    const writer = new LogWriter({
      ...{ log, stream: CONTROL_STREAM, clock, random, writer: name, budget },
    });
    reader.start();
    await reader.waitCaughtUp();
    // Stopping its clock ends the operator's reader.
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
