import { ALL_PROTECTIONS, type Protections } from "@lycheepulley/core";

import { Caller, RequestKind, type CallerRecord } from "./Caller.js";
import { checkPromises, MAIN_PROMPT, type Violation } from "./checks.js";
import { FAULTS, PAUSE_MS } from "./faults.js";
import type { MatrixProcess } from "./MatrixProcess.js";
import {
  getAbsenceReason,
  TRACE_STEP_BY_REQUEST_STEP,
  RECORD_BY_STEP,
  REQUEST_STEPS,
  type ControlStep,
  type RequestStep,
} from "./steps.js";
import { World } from "./World.js";

/** Time between two different faults: the second comes before the first has been detected. */
const PAIR_INTERVAL_MS = 8;
const REPEAT_INTERVAL_MS = 700;
const PAUSE_INTERVAL_MS = PAUSE_MS + 500;
const MID_STREAM_CHUNK_COUNT = 3;
/** Time limit for the requests of a cell to end. */
const REQUEST_RUN_MS = 30_000;
/** Time for leases, orders and sweeps of abandoned memory to complete. */
const SETTLE_MS = 24_000;
const CONTROL_RUN_MS = 45_000;
const LEASE_SETTLE_MS = 5_000;
/** Length of a pause, with time to catch up afterwards. */
const PAUSE_ALLOWANCE_MS = PAUSE_MS + 500;

/** One cell of the matrix: a kind of request, a step and the faults injected there. */
export interface Cell {
  readonly group: "request" | "control";
  readonly kind: RequestKind | "control";
  readonly step: RequestStep | ControlStep;
  /** Faults in the order in which they are injected. */
  readonly faults: readonly string[];
  readonly seed: number;
}

export interface CellResult {
  readonly cell: Cell;
  /** Why the combination can't occur; undefined when the cell ran. */
  readonly cannotArise: string | undefined;
  readonly violations: readonly Violation[];
}

/** Injects a cell's faults once, when its step is first taken. */
class Trigger {
  readonly #faults: readonly string[];
  readonly #world: World;
  readonly #caller: Caller;
  hasFired = false;
  lastFaultMs = 0;

  constructor(world: World, caller: Caller, faults: readonly string[]) {
    this.#world = world;
    this.#caller = caller;
    this.#faults = faults;
  }

  fire(process: MatrixProcess, record: CallerRecord | undefined): void {
    if (this.hasFired) {
      return;
    }
    this.hasFired = true;
    const target = { world: this.#world, caller: this.#caller, process, record };
    this.#faults.forEach((name, i) => {
      const inject = (): void => {
        this.lastFaultMs = this.#world.clock.now();
        FAULTS[name]?.(target);
      };
      if (i === 0) {
        inject();
      } else {
        this.#world.clock.setTimer(inject, i * getIntervalMs(this.#faults));
      }
    });
  }
}

const getIntervalMs = ([first, second]: readonly string[]): number => {
  if (first !== second) {
    return PAIR_INTERVAL_MS;
  }
  return first === "holder paused" ? PAUSE_INTERVAL_MS : REPEAT_INTERVAL_MS;
};

const GROUP_EXCLUSIONS: readonly { group: string; fault: string; reason: string }[] = [
  {
    group: "control",
    fault: "resend",
    reason: "operators' changes are covered by racing operators",
  },
  { group: "control", fault: "late or reordered chunks", reason: "control actions stream nothing" },
];

const SAVE_EXCLUSIONS: Readonly<Record<string, string>> = {
  "late or reordered chunks": "a plain service's answer has no chunks",
};

const findExclusion = ({ group, kind, step, faults }: Cell): string | undefined => {
  const rule = GROUP_EXCLUSIONS.find((r) => r.group === group && faults.includes(r.fault));
  const saveReason =
    kind === RequestKind.Save
      ? faults.map((fault) => SAVE_EXCLUSIONS[fault]).find(Boolean)
      : undefined;
  const isRequestStep = (REQUEST_STEPS as readonly string[]).includes(step);
  const stepReason =
    isRequestStep && kind !== "control" ? getAbsenceReason(kind, step as RequestStep) : undefined;
  return rule?.reason ?? saveReason ?? stepReason;
};

/** Runs one cell in simulated time and checks every promise. */
export const runCell = async (
  cell: Cell,
  disabled: Partial<Protections> = {},
): Promise<CellResult> => {
  const cannotArise = findExclusion(cell);
  if (cannotArise !== undefined) {
    return { cell, cannotArise, violations: [] };
  }
  const world = new World(cell.seed, { ...ALL_PROTECTIONS, ...disabled });
  const caller = new Caller(world);
  const trigger = new Trigger(world, caller, cell.faults);
  const cutByDrain =
    cell.group === "request"
      ? await runRequestCell(cell, world, caller, trigger)
      : await runControlCell(cell, world, caller, trigger);
  if (!trigger.hasFired) {
    const detail = `step "${cell.step}" was never taken`;
    return { cell, cannotArise: undefined, violations: [{ promise: "ends in time", detail }] };
  }
  const pauseCount = cell.faults.filter((fault) => fault === "holder paused").length;
  const violations = checkPromises({
    world,
    caller,
    pausedMs: pauseCount * PAUSE_ALLOWANCE_MS,
    cutByDrain,
    mayBlockMain: cell.faults.filter((fault) => fault === "engine dies").length > 1,
    stableSinceMs: trigger.lastFaultMs + PAUSE_ALLOWANCE_MS,
  });
  world.processes.forEach((process) => {
    process.kill();
  });
  return { cell, cannotArise: undefined, violations };
};

const runRequestCell = async (
  cell: Cell,
  world: World,
  caller: Caller,
  trigger: Trigger,
): Promise<readonly string[]> => {
  await world.start();
  const [first, second, third] = world.processes;
  if (!first || !second || !third || cell.kind === "control") {
    return [];
  }
  const step = cell.step as RequestStep;
  const traceStep = TRACE_STEP_BY_REQUEST_STEP[step];
  const sent: { main?: CallerRecord } = {};
  const fire = (): void => {
    trigger.fire(first, sent.main);
  };
  caller.send({ process: second, kind: RequestKind.Prompt, text: "bystander" });
  caller.send({ process: third, kind: RequestKind.Save, text: "bystander-save" });
  first.onStep = (_trace, taken) => {
    if (taken !== traceStep) {
      return;
    }
    if (sent.main) {
      fire();
    } else {
      // The first steps are taken within `send`, before it returns the record.
      queueMicrotask(fire);
    }
  };
  sent.main = caller.send({
    process: first,
    kind: cell.kind,
    text: MAIN_PROMPT,
    onChunk: (count) => {
      if (step === "mid-stream" && count === MID_STREAM_CHUNK_COUNT) {
        fire();
      }
    },
    onReply: () => {
      if (step === "reply") {
        fire();
      }
    },
  });
  const haveAllEnded = (): boolean =>
    caller.records.every(({ endedMs, process }) => endedMs !== undefined || process.clock.isDead);
  await world.clock.advance(REQUEST_RUN_MS, () => trigger.hasFired && haveAllEnded());
  await world.clock.advance(SETTLE_MS);
  await world.clock.advance(REQUEST_RUN_MS, haveAllEnded);
  return [];
};

const runControlCell = async (
  cell: Cell,
  world: World,
  caller: Caller,
  trigger: Trigger,
): Promise<readonly string[]> => {
  const step = cell.step as ControlStep;
  watchControlStep(step, world, trigger);
  await world.start();
  await world.clock.advance(LEASE_SETTLE_MS);
  caller.send({
    process: world.processes[0] as MatrixProcess,
    kind: RequestKind.Prompt,
    text: "x",
  });
  void world.publish("2", "rollout");
  await world.clock.advance(LEASE_SETTLE_MS);
  const cutOff: string[] = [];
  const leavingProcess = world.liveProcesses[0];
  if (leavingProcess) {
    caller.send({ process: leavingProcess, kind: RequestKind.Prompt, text: MAIN_PROMPT });
    caller.send({ process: leavingProcess, kind: RequestKind.Save, text: "saved" });
    if (step === "drain") {
      world.clock.setTimer(() => {
        trigger.fire(leavingProcess, undefined);
      }, 1);
    }
    const onDrained = (): void => {
      const open = caller.records.filter(
        (r) => r.process === leavingProcess && r.endedMs === undefined,
      );
      cutOff.push(...open.map(({ requestId }) => `${requestId} was cut off`));
      leavingProcess.kill();
    };
    // A paused process starts its drain when it resumes.
    leavingProcess.clock.run(() => {
      void leavingProcess.node.drainer.drain("matrix").then(onDrained);
    });
  }
  const other = world.liveProcesses.find((process) => process !== leavingProcess);
  if (other) {
    caller.send({ process: other, kind: RequestKind.OncePrompt, text: "once" });
  }
  await world.clock.advance(CONTROL_RUN_MS);
  return cutOff;
};

/** Fires the trigger when a process first takes a control step. */
const watchControlStep = (step: ControlStep, world: World, trigger: Trigger): void => {
  const findWriter = (writer: string): MatrixProcess =>
    world.processes.find(({ name }) => writer.startsWith(`${name}.`)) ??
    (world.processes[0] as MatrixProcess);
  const rule = RECORD_BY_STEP[step];
  if (rule) {
    const onRecords = (records: readonly { writer: string }[]): void => {
      const match = (records as Parameters<typeof world.log.onAppend>[0]).find(rule.matches);
      if (match) {
        trigger.fire(findWriter(match.writer), undefined);
      }
    };
    world.log[rule.when === "append" ? "onAppend" : "onAppended"] = onRecords;
  }
  const fireAtHolder = (): void => {
    const holder = world.processes.find(({ node }) => node.duties.getHeld().length > 0);
    trigger.fire(holder ?? (world.processes[0] as MatrixProcess), undefined);
  };
  world.engines.forEach((engine) => {
    if (step === "order") {
      engine.onOrderReceived = fireAtHolder;
    } else if (step === "order answer") {
      engine.onOrderApplied = fireAtHolder;
    }
  });
  if (step === "configuration apply") {
    const [first] = world.processes;
    first?.node.config.subscribe(() => {
      trigger.fire(first, undefined);
    });
  }
};
