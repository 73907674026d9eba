/** An upstream that was lost, and the shared parts of the prompts that it was answering. */
export interface LostUpstream {
  /** Its id, which changes with each start. */
  readonly upstream: string;
  /** Monotonic time at which the first process noticed. */
  readonly atMs: number;
  readonly parts: readonly string[];
  /** The upstream answered a request that was sent later, so that only connections were lost. */
  readonly isWithdrawn: boolean;
}

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
  const counted = losses.filter(({ isWithdrawn }) => !isWithdrawn);
  for (const loss of counted.sort((a, b) => a.atMs - b.atMs)) {
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
