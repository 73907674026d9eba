/** What may crash upstreams. */
export const SuspectKind = {
  /** A part that prompts share. */
  Part: "part",
  /** A whole request, as often as it comes. */
  Request: "request",
} as const;
export type SuspectKind = (typeof SuspectKind)[keyof typeof SuspectKind];

/** An upstream that was lost, with what it was answering. */
export interface LostUpstream {
  /** Its id, which changes with each start. */
  readonly upstream: string;
  /** Monotonic time at which the first process noticed. */
  readonly atMs: number;
  /** Shared parts of the prompts. */
  readonly parts: readonly string[];
  /** Fingerprints of the requests. */
  readonly requests: readonly string[];
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
    requests: [...new Set(joined.flatMap(({ requests }) => requests))],
  };
};

const getLatest = (one: number | undefined, other: number | undefined): number | undefined =>
  one === undefined || (other !== undefined && other > one) ? other : one;

/** What the losses say about one part or request. */
export interface Assessment {
  /** The part, or the request's fingerprint. */
  readonly key: string;
  readonly kind: SuspectKind;
  /** Losses that it may have caused, oldest first. */
  readonly lost: readonly LostUpstream[];
  /** It had a sound answer before. */
  readonly isProven: boolean;
}

/** The newest beginnings of sound answers, by part and by request. */
export type SoundAnswers = Readonly<Record<SuspectKind, ReadonlyTimes>>;
interface ReadonlyTimes {
  get(key: string): number | undefined;
  has(key: string): boolean;
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
 * Finds what may have caused the losses, by key. One part causes a loss, so that parts which were sound before
 * aren't accused of one that a part without a sound answer explains. Requests are judged beside the parts: the
 * request is new wherever a part is at fault, and would always explain the loss before the part does.
 */
export const assessLosses = (
  losses: readonly LostUpstream[],
  sound: SoundAnswers,
): Map<string, Assessment> => {
  const assessments = new Map<string, Assessment>();
  const accuse = (kind: SuspectKind, key: string, loss: LostUpstream): void => {
    const lost = [...(assessments.get(key)?.lost ?? []), loss];
    assessments.set(key, { key, kind, lost, isProven: sound[kind].has(key) });
  };
  const counted = losses.filter((loss) => !isWithdrawn(loss));
  for (const loss of counted.sort(compareLosses)) {
    for (const part of findCauses(loss, sound.part)) {
      accuse(SuspectKind.Part, part, loss);
    }
    for (const request of loss.requests) {
      if (getSuspicion(request, loss, sound.request) > Suspicion.None) {
        accuse(SuspectKind.Request, request, loss);
      }
    }
  }
  return assessments;
};

/** Other parts that may have caused all losses of a part. */
export const findCompanions = (
  assessments: ReadonlyMap<string, Assessment>,
  { key, kind, lost }: Assessment,
): string[] =>
  [...assessments.values()]
    .filter((other) => other.kind === kind && other.key !== key)
    .filter((other) => lost.every((loss) => other.lost.includes(loss)))
    .map((other) => other.key);

const compareLosses = (one: LostUpstream, other: LostUpstream): number =>
  one.atMs - other.atMs || one.upstream.localeCompare(other.upstream);

const getSuspicion = (key: string, loss: LostUpstream, sound: ReadonlyTimes): number => {
  const begunMs = sound.get(key);
  if (begunMs === undefined) {
    return Suspicion.Unproven;
  }
  return begunMs > loss.atMs ? Suspicion.None : Suspicion.Proven;
};

const findCauses = (loss: LostUpstream, sound: ReadonlyTimes): string[] => {
  const suspicions = new Map(loss.parts.map((part) => [part, getSuspicion(part, loss, sound)]));
  const highest = Math.max(Suspicion.None, ...suspicions.values());
  return highest === Suspicion.None
    ? []
    : loss.parts.filter((part) => suspicions.get(part) === highest);
};
