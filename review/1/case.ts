import { sleep } from "../net.js";
import { hasTrouble, runCase } from "../runCase.js";

const EVENTS = 32;
const STREAMS = 20;
/** One stream in twenty has no length, the share that the site file names for such answers. */
const UNFRAMED_EVERY = 20;
const KILL_AFTER_MS = 700;

let answers = 0;

// One of six gateways is killed (SIGKILL) while it passes on streams, one of which has no length.
await runCase(1, async (deployment, note) => {
  await deployment.start({
    ...{ gateways: 6, prompts: 4, calls: 1 },
    worker: { events: EVENTS, isFramed: () => ++answers % UNFRAMED_EVERY !== 0 },
  });
  const [gateway] = deployment.gateways;
  if (!gateway) {
    throw new Error("no gateway");
  }
  const streams = Array.from({ length: STREAMS }, () =>
    deployment.send(gateway, { route: "note", tokens: [4_960, 1_376], timeoutMs: 10_000 }),
  );
  await sleep(KILL_AFTER_MS);
  if (hasTrouble) {
    note(`SIGKILL to ${gateway.host}`);
    gateway.signal("SIGKILL");
  }
  const outcomes = await Promise.all(streams);
  const breaks = outcomes
    .filter(({ status, isComplete, eventIds }) => {
      return status === 200 && isComplete && eventIds.length < EVENTS;
    })
    .map(
      ({ attemptId, eventIds }) =>
        `${attemptId}: a 200 that is complete by its framing has ${String(eventIds.length)} of ` +
        `${String(EVENTS)} events`,
    );
  const isWhole = outcomes.every(({ isComplete }) => isComplete);
  const problem = !hasTrouble && !isWhole ? "not all streams ended whole" : undefined;
  return { outcomes, breaks, problem };
});
