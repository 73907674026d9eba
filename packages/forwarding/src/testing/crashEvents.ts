import { newSilentLogger } from "@lycheepulley/telemetry";

import { CrashEvidence, type CrashReport } from "../crashes/CrashEvidence.js";
import { ManualClock } from "./ManualClock.js";

/**
 * An event at a time in milliseconds: an upstream lost under parts and a request, an upstream that answered a
 * request sent then, or parts and a request with a sound answer that began then.
 */
export type Event =
  | readonly ["lost", number, string, readonly string[], request?: string]
  | readonly ["answered", number, string]
  | readonly ["sound", number, readonly string[], request?: string];

/** Evidence of one process. */
export const newEvidence = (
  clock = new ManualClock(),
  onNews: (report: CrashReport) => void = () => undefined,
): CrashEvidence => new CrashEvidence({ clock, logger: newSilentLogger(), onNews });

/** Records an event as of now. */
export const record = (evidence: CrashEvidence, event: Event): void => {
  if (event[0] === "lost") {
    evidence.recordLoss(event[2], event[3], event[4]);
  } else if (event[0] === "answered") {
    evidence.recordAnswer(event[2], event[1]);
  } else {
    evidence.recordSound(event[2], event[1], event[3]);
  }
};

/** Evidence after some events, at `untilMs` or after the last of them. */
export const play = async (events: readonly Event[], untilMs = 0): Promise<CrashEvidence> => {
  const clock = new ManualClock();
  const evidence = newEvidence(clock);
  for (const event of events) {
    await clock.advance(Math.max(0, event[1] - clock.now()));
    record(evidence, event);
  }
  await clock.advance(Math.max(0, untilMs - clock.now()));
  return evidence;
};

/** What holds for a request with these parts: free, a trial, or not sent before a time. */
export const describeStanding = (
  evidence: CrashEvidence,
  parts: readonly string[],
  request?: string,
): string | number => {
  const { suspects, blocked } = evidence.getStanding(parts, request);
  return blocked?.untilMs ?? (suspects.length > 0 ? `trial of ${suspects.join()}` : "free");
};

export const DAY_MS = 86_400_000;
