import { fileURLToPath } from "node:url";

import { AppWorker, type Arrival } from "../lib-2/AppWorker.js";
import { sendAttempt } from "../lib-2/Caller.js";
import { sleep } from "../lib-2/net.js";
import { runCase } from "../lib-2/runCase.js";

const RECORD_FILE = fileURLToPath(new URL("../record.txt", import.meta.url));
const HOSTS = ["127.0.6.1", "127.0.6.2", "127.0.6.3"];
const WORKERS = 3;
const CRASH_PATH = "/save/crash";
const SOUND_PATH = "/save/1";
const BODY = Buffer.alloc(600, "x");
const DEADLINE_MS = 1_000;
/** Interval at which the request that crashes its workers comes again. */
const REPEAT_MS = 1_500;
/** Interval of the sound requests, a few more than the sheet has. */
const SOUND_MS = 100;
/** Rule BUDGET: retries that may reach workers, and from when on they count. */
const MAX_RETRIES = 3;
const STABLE_WINDOW_MS = 3_000;
/** Time after a restart from which on a machine is certainly in touch. */
const IN_TOUCH_MS = 4_500;
const CRASHES_AT_FIRST = 3;

const crashes: Arrival[] = [];

await runCase(
  RECORD_FILE,
  {
    hosts: HOSTS,
    newWorkers: (recorder) =>
      Array.from(
        { length: WORKERS },
        (_, at) =>
          new AppWorker({ name: `i-app-${String(at)}`, recorder, crashPath: CRASH_PATH, crashes }),
      ),
  },
  async ({ deployment, workers, recorder, hasTrouble }) => {
    const port = deployment.frontendPort;
    const common = { port, body: BODY, deadlineMs: DEADLINE_MS, recorder };
    /** The caller sends the same request `times` times, one after the other. */
    const sendCrashing = async (hosts: readonly string[], times: number): Promise<void> => {
      for (let at = 0; at < times; at++) {
        const host = hosts[at % hosts.length] ?? "";
        await sendAttempt({ ...common, host, path: CRASH_PATH });
        await sleep(REPEAT_MS);
      }
    };
    let sent = 0;
    const sound = setInterval(() => {
      const host = HOSTS[sent++ % HOSTS.length] ?? "";
      void sendAttempt({ ...common, host, path: SOUND_PATH, isRecorded: false });
    }, SOUND_MS);
    await sleep(STABLE_WINDOW_MS);
    await sendCrashing(HOSTS, CRASHES_AT_FIRST + HOSTS.length);
    const thirdMs = crashes[CRASHES_AT_FIRST - 1]?.atMs;
    if (thirdMs === undefined) {
      throw new Error("the request didn't crash three workers");
    }
    for (const host of HOSTS.slice(0, 2)) {
      if (hasTrouble) {
        recorder.add(`machine  ${host} gets SIGTERM`);
        await deployment.restart(host);
        recorder.add(`machine  ${host} is ready again`);
      }
      await sleep(IN_TOUCH_MS);
      await sendCrashing([host], CRASHES_AT_FIRST + 1);
    }
    clearInterval(sound);
    const late = crashes.filter(({ atMs }) => atMs > thirdMs + STABLE_WINDOW_MS);
    const lost = workers.flatMap((worker) => worker.lost);
    recorder.add(`check    ${String(lost.length)} sound requests were lost with their workers`);
    recorder.add(
      `check    after the third crash and ${String(STABLE_WINDOW_MS)} ms the request reached workers ` +
        `${String(late.length)} times; ${String(MAX_RETRIES)} are allowed`,
    );
    return late.length > MAX_RETRIES ? 1 : 0;
  },
);
