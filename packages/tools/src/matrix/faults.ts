import { RequestKind, type Caller, type CallerRecord } from "./Caller.js";
import { POISON } from "./FakeEngine.js";
import type { MatrixProcess } from "./MatrixProcess.js";
import type { World } from "./World.js";

/** What a fault acts on. */
export interface FaultTarget {
  readonly world: World;
  readonly caller: Caller;
  /** Process that takes the step. */
  readonly process: MatrixProcess;
  /** Request that takes the step; undefined for control steps. */
  readonly record: CallerRecord | undefined;
}

const LOG_OUTAGE_MS = 5_000;
const LOG_SLOW_MS = 6_000;
/** Longer than the term of a lease, so that the paused holder loses it. */
export const PAUSE_MS = 9_500;
const POISON_SENDS = 4;
const POISON_INTERVAL_MS = 1_200;

/** Engine that runs the request, or the first engine if none does. */
const findTargetEngine = ({ world, record }: FaultTarget): World["engines"][number] | undefined => {
  const requestId = record?.requestId ?? "";
  const running = world.engines.find(({ runs }) =>
    runs.some(({ attemptId }) => requestId !== "" && attemptId.startsWith(requestId)),
  );
  return running ?? world.engines[0];
};

const findOtherProcess = ({ world, process }: FaultTarget): MatrixProcess | undefined =>
  world.liveProcesses.find((other) => other !== process && !other.clock.isPaused);

/** Injects each fault; its name is a column of the matrix. */
export const FAULTS: Readonly<Record<string, (target: FaultTarget) => void>> = {
  "engine dies": (target) => {
    findTargetEngine(target)?.crash();
    if (target.record?.kind === RequestKind.Save) {
      target.world.services[0]?.crash();
    }
  },
  "entry process dies": ({ process }) => {
    process.kill();
  },
  "log down": ({ world }) => {
    world.log.isDown = true;
    world.clock.setTimer(() => {
      world.log.isDown = false;
    }, LOG_OUTAGE_MS);
  },
  "log slow": ({ world }) => {
    world.log.isSlow = true;
    world.clock.setTimer(() => {
      world.log.isSlow = false;
    }, LOG_SLOW_MS);
  },
  "answer lost": ({ world }) => {
    world.log.loseAnswers += 1;
    [...world.engines, ...world.services].forEach((upstream) => {
      upstream.loseAnswers = 1;
    });
  },
  "holder paused": ({ process }) => {
    process.clock.pause(PAUSE_MS);
  },
  "VM leaving": (target) => {
    const engine = findTargetEngine(target);
    if (engine) {
      target.world.markEngineLeaving(engine.name);
    }
  },
  "racing operators": ({ world }) => {
    const follows = world.getCommittedRevision();
    void world.publish("7", "left", follows);
    void world.publish("8", "right", follows);
  },
  resend: (target) => {
    const { caller, record } = target;
    const other = findOtherProcess(target);
    if (record && other) {
      const key = record.key === undefined ? {} : { key: record.key };
      caller.send({ process: other, kind: record.kind, text: "main", ...key });
    }
  },
  "late or reordered chunks": ({ world }) => {
    world.engines.forEach((engine) => {
      engine.shufflesChunks = true;
    });
  },
  "poison request": (target) => {
    const { world, caller } = target;
    world.poisonCount += 1;
    const text = `${POISON} ${String(world.poisonCount)}`;
    for (let i = 0; i < POISON_SENDS; i += 1) {
      world.clock.setTimer(() => {
        const process = world.liveProcesses[i % world.liveProcesses.length];
        if (process) {
          caller.send({ process, kind: RequestKind.Prompt, text });
        }
      }, i * POISON_INTERVAL_MS);
    }
  },
};

export const FAULT_NAMES = Object.keys(FAULTS);
