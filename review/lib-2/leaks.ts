import type { LlmWorker, Ticket } from "./LlmWorker.js";
import type { Recorder } from "./Recorder.js";

/** Bound of the rule LEAK. */
const FREE_MS = 4_000;
/** Only stretches of this length or more count. */
const MIN_STRETCH_MS = 2_000;

/** Time for which memory was set aside past the bound, milliseconds. */
const getLeakMs = ({ endedMs, uses, spans }: Ticket): number => {
  if (endedMs === undefined || uses > 0) {
    return 0;
  }
  const leaks = spans
    .map(({ fromMs, toMs }) => ({ fromMs: Math.max(fromMs, endedMs), toMs }))
    .filter(({ fromMs, toMs }) => toMs - fromMs >= MIN_STRETCH_MS)
    .map(({ toMs }) => toMs - endedMs - FREE_MS);
  return Math.max(0, ...leaks);
};

/** Finds tickets that break the rule LEAK, and notes them; `slackMs` is added to the bound. */
export const findLeaks = (
  workers: readonly LlmWorker[],
  recorder: Recorder,
  slackMs: number,
): number => {
  const tickets = workers.flatMap((worker) => [...worker.tickets.values()]);
  const leaks = tickets.filter((ticket) => {
    if (getLeakMs(ticket) <= slackMs) {
      return false;
    }
    const { worker, id, endedMs = 0, spans } = ticket;
    const held = spans.map(({ fromMs, toMs }) => `${String(fromMs)} to ${String(toMs)}`);
    recorder.add(
      `LEAK     ${worker} ${id}: last request over at ${String(endedMs)}, set aside ${held.join(", ")}`,
    );
    return true;
  });
  const used = tickets.filter(({ endedMs }) => endedMs !== undefined).length;
  recorder.add(`check    ${String(used)} tickets were used, ${String(leaks.length)} break LEAK`);
  return leaks.length;
};
