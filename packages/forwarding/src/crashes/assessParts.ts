/** An upstream that was lost, and the shared parts of the prompts that it was answering. */
export interface LostUpstream {
  /** Its id, which changes with each start. */
  readonly upstream: string;
  /** Monotonic time at which the first process noticed. */
  readonly atMs: number;
  readonly parts: readonly string[];
  /** Newest sending time of a request that the upstream answered; if it is later, only connections were lost. */
  readonly answeredMs: number | undefined;
}

/** True when the upstream answered a request that was sent after the loss. */
export const isWithdrawn = ({ atMs, answeredMs = -Infinity }: LostUpstream): boolean =>
  answeredMs > atMs;

/** Joins two reports of one upstream; one that lived on may be lost later. */
export const joinLosses = (one: LostUpstream, other: LostUpstream): LostUpstream => {
  const answeredMs = getLatest(one.answeredMs, other.answeredMs);
  const both = [one, other].map((loss) => ({ ...loss, answeredMs }));
  const counted = both.filter((loss) => !isWithdrawn(loss));
  const joined = counted.length > 0 ? counted : both;
  return {
    ...{ upstream: one.upstream, answeredMs },
    atMs: Math.min(...joined.map(({ atMs }) => atMs)),
    parts: [...new Set(joined.flatMap(({ parts }) => parts))],
  };
};

const getLatest = (one: number | undefined, other: number | undefined): number | undefined =>
  one === undefined || (other !== undefined && other > one) ? other : one;

/** What the losses say about one part. */
export interface PartAssessment {
  readonly part: string;
  /** Losses that the part may have caused, oldest first. */
  readonly lost: readonly LostUpstream[];
  /** It had a sound answer before. */
  readonly isProven: boolean;
}

/** What sound answers say about a part that a loss accuses, the more suspect the higher. */
const Suspicion = {
  /** An answer on it began after the loss and went on. */
  None: 0,
  /** Answers on it went on before the loss only. */
  Proven: 1,
  /** No answer on it has ever gone on. */
  Unproven: 2,
} as const;

/**
 * Finds the parts that may have caused the losses. A loss has one cause, so that parts which were
 * sound before aren't accused of one that a part without a sound answer explains.
 * `sound` holds the newest beginning of a sound answer by part.
 */
export const assessParts = (
  losses: readonly LostUpstream[],
  sound: ReadonlyMap<string, number>,
): Map<string, PartAssessment> => {
  const accused = new Map<string, LostUpstream[]>();
  const counted = losses.filter((loss) => !isWithdrawn(loss));
  for (const loss of counted.sort(compareLosses)) {
    for (const part of findCauses(loss, sound)) {
      accused.set(part, [...(accused.get(part) ?? []), loss]);
    }
  }
  return new Map(
    [...accused].map(([part, lost]) => [part, { part, lost, isProven: sound.has(part) }]),
  );
};

/** Other parts that may have caused all losses of a part. */
export const findCompanions = (
  assessments: ReadonlyMap<string, PartAssessment>,
  { part, lost }: PartAssessment,
): string[] =>
  [...assessments.values()]
    .filter((other) => other.part !== part && lost.every((loss) => other.lost.includes(loss)))
    .map((other) => other.part);

const compareLosses = (one: LostUpstream, other: LostUpstream): number =>
  one.atMs - other.atMs || one.upstream.localeCompare(other.upstream);

const findCauses = (loss: LostUpstream, sound: ReadonlyMap<string, number>): string[] => {
  const getSuspicion = (part: string): number => {
    const begunMs = sound.get(part);
    if (begunMs === undefined) {
      return Suspicion.Unproven;
    }
    return begunMs > loss.atMs ? Suspicion.None : Suspicion.Proven;
  };
  const highest = Math.max(Suspicion.None, ...loss.parts.map(getSuspicion));
  return highest === Suspicion.None
    ? []
    : loss.parts.filter((part) => getSuspicion(part) === highest);
};
