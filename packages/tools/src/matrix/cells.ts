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

/** A second fault strikes while the first one is being noticed. */
const PAIR_SPACING_MS = 8;
const REPEAT_SPACING_MS = 700;
const PAUSE_SPACING_MS = PAUSE_MS + 500;
const MID_STREAM_CHUNK = 3;
/** Time in which the requests of a cell end. */
const REQUEST_RUN_MS = 30_000;
/** Time in which leases, orders and sweeps settle. */
const SETTLE_MS = 24_000;
const CONTROL_RUN_MS = 45_000;
const LEASE_SETTLE_MS = 5_000;
const PAUSE_ALLOWANCE_MS = PAUSE_MS + 500;

/** One cell of the matrix. */
export interface Cell {
  readonly group: "request" | "control";
  readonly kind: RequestKind | "control";
  readonly step: RequestStep | ControlStep;
  /** Faults in the order in which they strike. */
  readonly faults: readonly string[];
  readonly seed: number;
}

export interface CellResult {
  readonly cell: Cell;
  /** Why the cell can't arise; undefined when it ran. */
  readonly cannotArise: string | undefined;
  readonly violations: readonly Violation[];
}

/** Strikes a cell's faults once, when its step is first taken. */
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
      const strike = (): void => {
        this.lastFaultMs = this.#world.clock.now();
        FAULTS[name]?.(target);
      };
      if (i === 0) {
        strike();
      } else {
        this.#world.clock.setTimer(strike, i * getSpacingMs(this.#faults));
      }
    });
  }
}

const getSpacingMs = ([first, second]: readonly string[]): number => {
  if (first !== second) {
    return PAIR_SPACING_MS;
  }
  return first === "holder paused" ? PAUSE_SPACING_MS : REPEAT_SPACING_MS;
};

const CANNOT_ARISE: readonly { group: string; fault: string; why: string }[] = [
  { group: "control", fault: "resend", why: "operators' changes are covered by racing operators" },
  { group: "control", fault: "late or reordered chunks", why: "control actions stream nothing" },
];

const SAVE_CANNOT: Readonly<Record<string, string>> = {
  "late or reordered chunks": "a plain service's answer has no chunks",
};

const findImpossible = ({ group, kind, step, faults }: Cell): string | undefined => {
  const rule = CANNOT_ARISE.find((r) => r.group === group && faults.includes(r.fault));
  const ofSave =
    kind === RequestKind.Save ? faults.map((fault) => SAVE_CANNOT[fault]).find(Boolean) : undefined;
  const isRequestStep = (REQUEST_STEPS as readonly string[]).includes(step);
  const missing =
    isRequestStep && kind !== "control" ? getAbsenceReason(kind, step as RequestStep) : undefined;
  return rule?.why ?? ofSave ?? missing;
};

/** Runs one cell on its own clock and checks every promise. */
export const runCell = async (
  cell: Cell,
  broken: Partial<Protections> = {},
): Promise<CellResult> => {
  const cannotArise = findImpossible(cell);
  if (cannotArise !== undefined) {
    return { cell, cannotArise, violations: [] };
  }
  const world = new World(cell.seed, { ...ALL_PROTECTIONS, ...broken });
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
  const pauses = cell.faults.filter((fault) => fault === "holder paused").length;
  const violations = checkPromises({
    world,
    caller,
    pausedMs: pauses * PAUSE_ALLOWANCE_MS,
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
  const mark = TRACE_STEP_BY_REQUEST_STEP[step];
  const sent: { main?: CallerRecord } = {};
  const fire = (): void => {
    trigger.fire(first, sent.main);
  };
  caller.send({ process: second, kind: RequestKind.Prompt, text: "bystander" });
  caller.send({ process: third, kind: RequestKind.Save, text: "bystander-save" });
  first.onStep = (_trace, taken) => {
    if (taken !== mark) {
      return;
    }
    if (sent.main) {
      fire();
    } else {
      // The first steps are taken before the caller holds its record.
      queueMicrotask(fire);
    }
  };
  sent.main = caller.send({
    process: first,
    kind: cell.kind,
    text: MAIN_PROMPT,
    onChunk: (count) => {
      if (step === "mid-stream" && count === MID_STREAM_CHUNK) {
        fire();
      }
    },
    onReply: () => {
      if (step === "reply") {
        fire();
      }
    },
  });
  const isEnded = (): boolean =>
    caller.records.every(({ endedMs, process }) => endedMs !== undefined || process.clock.isDead);
  await world.clock.advance(REQUEST_RUN_MS, () => trigger.hasFired && isEnded());
  await world.clock.advance(SETTLE_MS);
  await world.clock.advance(REQUEST_RUN_MS, isEnded);
  return [];
};

const runControlCell = async (
  cell: Cell,
  world: World,
  caller: Caller,
  trigger: Trigger,
): Promise<readonly string[]> => {
  const step = cell.step as ControlStep;
  armControl(step, world, trigger);
  await world.start();
  await world.clock.advance(LEASE_SETTLE_MS);
  caller.send({
    process: world.processes[0] as MatrixProcess,
    kind: RequestKind.Prompt,
    text: "x",
  });
  void world.publish("2", "rollout");
  await world.clock.advance(LEASE_SETTLE_MS);
  const cut: string[] = [];
  const leaver = world.liveProcesses[0];
  if (leaver) {
    caller.send({ process: leaver, kind: RequestKind.Prompt, text: MAIN_PROMPT });
    caller.send({ process: leaver, kind: RequestKind.Save, text: "saved" });
    if (step === "drain") {
      world.clock.setTimer(() => {
        trigger.fire(leaver, undefined);
      }, 1);
    }
    const onDrained = (): void => {
      const open = caller.records.filter((r) => r.process === leaver && r.endedMs === undefined);
      cut.push(...open.map(({ requestId }) => `${requestId} was cut off`));
      leaver.kill();
    };
    // A paused process hears of it when it wakes.
    leaver.clock.run(() => {
      void leaver.node.drainer.drain("matrix").then(onDrained);
    });
  }
  const other = world.liveProcesses.find((process) => process !== leaver);
  if (other) {
    caller.send({ process: other, kind: RequestKind.OncePrompt, text: "once" });
  }
  await world.clock.advance(CONTROL_RUN_MS);
  return cut;
};

/** Fires when a control step is first taken by a process. */
const armControl = (step: ControlStep, world: World, trigger: Trigger): void => {
  const findWriter = (writer: string): MatrixProcess =>
    world.processes.find(({ name }) => writer.startsWith(`${name}.`)) ??
    (world.processes[0] as MatrixProcess);
  const rule = RECORD_BY_STEP[step];
  if (rule) {
    const watch = (records: readonly { writer: string }[]): void => {
      const hit = (records as Parameters<typeof world.log.onAppend>[0]).find(rule.is);
      if (hit) {
        trigger.fire(findWriter(hit.writer), undefined);
      }
    };
    world.log[rule.when === "append" ? "onAppend" : "onAppended"] = watch;
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
