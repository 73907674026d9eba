import { fileURLToPath } from "node:url";

import { newPromptHeaders, sendAttempt } from "../lib-2/Caller.js";
import { findLeaks } from "../lib-2/leaks.js";
import { LlmWorker } from "../lib-2/LlmWorker.js";
import { sleep } from "../lib-2/net.js";
import { runCase } from "../lib-2/runCase.js";

const RECORD_FILE = fileURLToPath(new URL("../record.txt", import.meta.url));
const HOSTS = ["127.0.7.1", "127.0.7.2"];
const WORKERS = 6;
/** More than one worker holds, as one archive in ten or so has. */
const PROMPT_TOKENS = 450_000;
const OUTPUT_TOKENS = 688;
const BODY = Buffer.alloc(33_000, "x");
const DEADLINE_MS = 15_000;
/** Time after its start at which the worker that runs the prompt crashes. */
const CRASH_AFTER_MS = 1_000;
const POLL_MS = 20;
/** Work that depends on a dead worker stalls for this long before it is cut off. */
const STALL_MS = 1_500;
/** Time for memory to be freed after the last answer. */
const AFTER_MS = 6_000;

await runCase(
  RECORD_FILE,
  {
    hosts: HOSTS,
    newWorkers: (recorder) => {
      const workers: LlmWorker[] = [];
      const findWorker = (address: string): LlmWorker | undefined =>
        workers.find((worker) => worker.address === address);
      for (let at = 0; at < WORKERS; at++) {
        workers.push(new LlmWorker({ id: `i-llm-${String(at)}`, recorder, findWorker }));
      }
      return workers;
    },
  },
  async ({ deployment, workers, recorder, hasTrouble }) => {
    const answered = sendAttempt({
      ...{ host: "127.0.7.1", port: deployment.frontendPort, path: "/archive/1", recorder },
      ...{ body: BODY, deadlineMs: DEADLINE_MS },
      headers: newPromptHeaders(PROMPT_TOKENS, OUTPUT_TOKENS),
    });
    const findRunning = (): LlmWorker | undefined => workers.find(({ running }) => running > 0);
    while (!findRunning()) {
      await sleep(POLL_MS);
    }
    await sleep(CRASH_AFTER_MS);
    if (hasTrouble) {
      findRunning()?.goDark(deployment.store);
    }
    await answered;
    await sleep(AFTER_MS);
    return findLeaks(workers, recorder, STALL_MS);
  },
);
