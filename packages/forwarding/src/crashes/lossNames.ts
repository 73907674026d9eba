import { SuspectKind, type LostUpstream } from "./assessLosses.js";

/** The parts and the requests that a loss names. */
export const getNames = ({
  parts,
  requests,
}: LostUpstream): readonly (readonly [SuspectKind, readonly string[]])[] => [
  [SuspectKind.Part, parts],
  [SuspectKind.Request, requests],
];

/** True when a sound answer begun at `begunMs`, unlike one at `beforeMs`, says something new about a loss. */
export const isLevelChanged = (
  begunMs: number | undefined,
  beforeMs: number | undefined,
  lostMs: number,
): boolean => {
  const getLevel = (ms: number | undefined): number => (ms === undefined ? 0 : ms > lostMs ? 2 : 1);
  return getLevel(begunMs) > getLevel(beforeMs);
};
