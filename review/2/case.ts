import { sleep } from "../net.js";
import { hasTrouble, runCase } from "../runCase.js";

const PROMPTS = 16;
const PROMPT_TOKENS = 110_000;
const OUTPUT_TOKENS = 688;
const SEND_EVERY_MS = 120;
const GRACE_MS = 8_000;
const GRACE_TAIL_MS = GRACE_MS / 6;
const DEADLINE_MS = 15_000;

// A gateway gets SIGTERM (planned work) while prompts that it has read wait for memory at the workers.
await runCase(2, async (deployment, note) => {
  await deployment.start({ gateways: 3, prompts: 2, calls: 1 });
  const [gateway] = deployment.gateways;
  if (!gateway) {
    throw new Error("no gateway");
  }
  const sent: ReturnType<typeof deployment.send>[] = [];
  for (let count = 0; count < PROMPTS; count++) {
    sent.push(
      deployment.send(gateway, {
        ...{ route: "review", tokens: [PROMPT_TOKENS, OUTPUT_TOKENS], timeoutMs: DEADLINE_MS },
      }),
    );
    await sleep(SEND_EVERY_MS);
  }
  const termMs = deployment.now();
  if (hasTrouble) {
    note(`SIGTERM to ${gateway.host}`);
    gateway.signal("SIGTERM");
  }
  const outcomes = await Promise.all(sent);
  const isExcused = (attemptId: string): boolean =>
    deployment.runs.some(
      (run) =>
        run.attemptId === attemptId &&
        run.atMs < termMs + GRACE_MS &&
        (run.endMs ?? Infinity) >= termMs + GRACE_MS - GRACE_TAIL_MS,
    );
  const lost = outcomes.filter(
    ({ attemptId, isComplete, sentMs, endMs }) =>
      !isComplete && endMs - sentMs < DEADLINE_MS - 200 && !isExcused(attemptId),
  );
  const breaks = lost.map(
    ({ attemptId, endMs }) =>
      `${attemptId}: its connection ended ${String(Math.round(endMs - termMs))} ms after the ` +
      `SIGTERM without an answer; runs at workers: ` +
      String(deployment.runs.filter((run) => run.attemptId === attemptId).length),
  );
  const isAnswered = outcomes.every(({ isComplete }) => isComplete);
  const problem = !hasTrouble && !isAnswered ? "not all requests were answered" : undefined;
  return { outcomes, breaks, problem };
});
