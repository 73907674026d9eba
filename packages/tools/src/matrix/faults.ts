import { RequestKind, type Caller, type CallerRecord } from "./Caller.js";
import { POISON } from "./FakeEngine.js";
import type { MatrixProcess } from "./MatrixProcess.js";
import type { World } from "./World.js";

/** Where a fault strikes. */
export interface FaultTarget {
  readonly world: World;
  readonly caller: Caller;
  /** Process at which the step is taken. */
  readonly process: MatrixProcess;
  /** Request whose step it is; undefined for control steps. */
  readonly record: CallerRecord | undefined;
}

const LOG_DOWN_MS = 5_000;
const LOG_SLOW_MS = 6_000;
/** Longer than a lease's term. */
export const PAUSE_MS = 9_500;
const POISON_SENDS = 4;
const POISON_SPACING_MS = 1_200;

const findEngine = ({ world, record }: FaultTarget): World["engines"][number] | undefined => {
  const attempt = record?.requestId ?? "";
  const running = world.engines.find(({ runs }) =>
    runs.some(({ attemptId }) => attempt !== "" && attemptId.startsWith(attempt)),
  );
  return running ?? world.engines[0];
};

const findOther = ({ world, process }: FaultTarget): MatrixProcess | undefined =>
  world.liveProcesses.find((other) => other !== process && !other.clock.isPaused);

let poisons = 0;

/** Faults of the brief, as columns of the matrix. */
export const FAULTS: Readonly<Record<string, (target: FaultTarget) => void>> = {
  "engine dies": (target) => {
    findEngine(target)?.crash();
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
    }, LOG_DOWN_MS);
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
    const engine = findEngine(target);
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
    const other = findOther(target);
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
    poisons += 1;
    const text = `${POISON} ${String(poisons)}`;
    for (let i = 0; i < POISON_SENDS; i += 1) {
      world.clock.setTimer(() => {
        const process = world.liveProcesses[i % world.liveProcesses.length];
        if (process) {
          caller.send({ process, kind: RequestKind.Prompt, text });
        }
      }, i * POISON_SPACING_MS);
    }
  },
};

export const FAULT_NAMES = Object.keys(FAULTS);
