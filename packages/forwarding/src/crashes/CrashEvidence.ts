import type { Clock } from "@lycheepulley/core";
import type { Logger } from "@lycheepulley/telemetry";

import {
  assessLosses,
  findCompanions,
  isWithdrawn,
  SuspectKind,
  type Assessment,
  type LostUpstream,
} from "./assessLosses.js";
import { getNames, isLevelChanged } from "./lossNames.js";
import { LossTable } from "./LossTable.js";
import { NewestTimes } from "./NewestTimes.js";
import {
  getBlockedUntilMs,
  getKeptUntilMs,
  getStatus,
  isRepeated,
  SuspectStatus,
} from "./suspectStatus.js";

const MAX_SOUND_KEYS = 4_096;
const KINDS = Object.values(SuspectKind);

/** A part of prompts, or a request by its fingerprint, with a sound answer that began at `begunMs`. */
export interface SoundAnswer {
  readonly key: string;
  readonly begunMs: number;
}

/** Evidence that processes exchange. Its merge doesn't depend on order, and repeats change nothing. */
export interface CrashReport {
  readonly lost: readonly LostUpstream[];
  readonly sound: Readonly<Record<SuspectKind, readonly SoundAnswer[]>>;
}

/** What holds for a request. */
export interface Standing {
  /** What may crash an upstream: parts, or the request itself; a request with one needs a trial. */
  readonly suspects: readonly string[];
  /** Why the request isn't sent. */
  readonly blocked:
    { readonly key: string; readonly kind: SuspectKind; readonly untilMs: number } | undefined;
}

/** A part of prompts, or a request by its fingerprint, under suspicion. */
export interface Suspect {
  readonly key: string;
  readonly kind: SuspectKind;
  readonly status: SuspectStatus;
  /** Upstreams whose loss it may have caused. */
  readonly upstreams: readonly string[];
  readonly lastLostMs: number;
  /** Time of the next trial of a blocked one. */
  readonly blockedUntilMs: number | undefined;
}

const FREE: Standing = { suspects: [], blocked: undefined };

/** Logged names of the kinds. */
const NAMES: Readonly<Record<SuspectKind, string>> = { part: "prompt part", request: "request" };

/**
 * Evidence on what crashes upstreams, from all processes: a part that prompts share, or a whole request. A loss
 * accuses all that was being answered there; later answers and losses tell the innocent apart.
 */
export class CrashEvidence {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #onNews: (report: CrashReport) => void;
  readonly #onChange: () => void;
  readonly #losses = new LossTable();
  readonly #sound: Readonly<Record<SuspectKind, NewestTimes>> = {
    part: new NewestTimes(MAX_SOUND_KEYS),
    request: new NewestTimes(MAX_SOUND_KEYS),
  };
  #assessments: ReadonlyMap<string, Assessment> | undefined = new Map();
  #statuses = new Map<string, Pick<Suspect, "kind" | "status">>();
  /** Time at which the next loss is to be forgotten, or earlier. */
  #forgetAtMs = -Infinity;

  constructor(options: {
    clock: Clock;
    logger: Logger;
    /** Called with evidence of this process that peers may lack. */
    onNews: (report: CrashReport) => void;
    /** Called when any evidence has changed. */
    onChange?: () => void;
  }) {
    this.#clock = options.clock;
    this.#logger = options.logger;
    this.#onNews = options.onNews;
    this.#onChange = options.onChange ?? ((): void => undefined);
  }

  /** Monotonic time by which evidence is recorded. */
  now(): number {
    return this.#clock.now();
  }

  /** Records that an upstream was lost while it answered, or was about to answer, a request with these parts. */
  recordLoss(upstream: string, parts: readonly string[], request?: string): void {
    const requests = request === undefined ? [] : [request];
    if (parts.length + requests.length === 0) {
      return;
    }
    const atMs = this.#clock.now();
    const loss = this.#merge({ upstream, atMs, parts, requests, answeredMs: undefined }, "own");
    this.#onNews(this.#newReport([loss]));
  }

  /** Records that an upstream answered a request that was sent at `sentMs`, so that it wasn't lost before. */
  recordAnswer(upstream: string, sentMs: number): void {
    const loss = this.#losses.recordAnswer(upstream, sentMs);
    if (loss) {
      const sound = { part: [], request: [] };
      this.#onNews({ lost: [this.#merge(loss, "own")], sound });
    }
  }

  /** Records that an answer to a request with these parts, begun at `begunMs`, went on without a crash. */
  recordSound(parts: readonly string[], begunMs: number, request?: string): void {
    const keys = { part: parts, request: request === undefined ? [] : [request] };
    const [part, whole] = KINDS.map((kind) =>
      keys[kind].filter((key) => this.#addSound(kind, { key, begunMs })),
    );
    const news = { part: part ?? [], request: whole ?? [] };
    if (news.part.length + news.request.length > 0) {
      this.#update("own");
      this.#onNews({ lost: [], sound: this.#getSound(news) });
    }
  }

  /** Applies the evidence of a peer, and tells what the peer's conclusions lack. */
  recordPeer(peer: string, { lost, sound }: CrashReport): void {
    KINDS.forEach((kind) => {
      sound[kind].forEach((answer) => this.#addSound(kind, answer));
    });
    const withdrawn: LostUpstream[] = [];
    const lacking = { part: new Set<string>(), request: new Set<string>() };
    for (const report of lost) {
      const loss = this.#merge(report, peer);
      if (isWithdrawn(loss) && !isWithdrawn(report)) {
        withdrawn.push(loss);
      }
      for (const [kind, keys] of getNames(loss)) {
        const told = new Map(sound[kind].map(({ key, begunMs }) => [key, begunMs]));
        keys
          .filter((key) => isLevelChanged(this.#sound[kind].get(key), told.get(key), loss.atMs))
          .forEach((key) => lacking[kind].add(key));
      }
    }
    this.#update(peer);
    if (withdrawn.length + lacking.part.size + lacking.request.size > 0) {
      const keys = { part: [...lacking.part], request: [...lacking.request] };
      this.#onNews({ lost: withdrawn, sound: this.#getSound(keys) });
    }
  }

  /** Lifts the suspicion of a part or a request, by an operator; false when there is none. */
  lift(key: string): boolean {
    const assessment = this.#getAssessments().get(key);
    if (!assessment) {
      return false;
    }
    const { kind } = assessment;
    this.#logger.info(`${NAMES[kind]} lifted by an operator`, { step: "admit", [kind]: key });
    const isPart = kind === SuspectKind.Part;
    this.recordSound(isPart ? [key] : [], this.#clock.now(), isPart ? undefined : key);
    return true;
  }

  /** What holds now for a request with these parts. */
  getStanding(parts: readonly string[], request?: string): Standing {
    if (this.#losses.size === 0) {
      return FREE;
    }
    this.#forgetOld();
    const assessments = this.#getAssessments();
    const suspects: string[] = [];
    for (const key of request === undefined ? parts : [...parts, request]) {
      const assessment = assessments.get(key);
      const status = assessment && getStatus(assessment);
      if (!assessment || !status) {
        continue;
      }
      suspects.push(key);
      // Without all parts that are under the same suspicion, the request may be sound.
      const isCause =
        status === SuspectStatus.Blocked &&
        (assessment.kind === SuspectKind.Request ||
          findCompanions(assessments, assessment).every((companion) => parts.includes(companion)));
      const untilMs = getBlockedUntilMs(assessment);
      if (isCause && this.#clock.now() < untilMs) {
        return { suspects: [key], blocked: { key, kind: assessment.kind, untilMs } };
      }
    }
    return suspects.length > 0 ? { suspects, blocked: undefined } : FREE;
  }

  /** Number of upstreams whose loss a part or a request may have caused. */
  countLosses(key: string): number {
    return this.#getAssessments().get(key)?.lost.length ?? 0;
  }

  /** Evidence about all lost upstreams, or those that concern one of `keys`. */
  getReport(keys?: readonly string[]): CrashReport {
    this.#forgetOld();
    const lost = keys ? new Set(keys.flatMap((key) => this.#losses.getNaming(key))) : undefined;
    return this.#newReport(lost ? [...lost] : this.#losses.all);
  }

  /** Parts and requests that more than one loss accuses: what is to outlast this process. */
  get repeated(): readonly Assessment[] {
    if (this.#losses.size === 0) {
      return [];
    }
    this.#forgetOld();
    return [...this.#getAssessments().values()].filter(isRepeated);
  }

  /** Parts and requests under suspicion, for operators. */
  get suspects(): readonly Suspect[] {
    this.#forgetOld();
    return [...this.#getAssessments().values()].flatMap((assessment) => {
      const status = getStatus(assessment);
      if (!status) {
        return [];
      }
      const { key, kind, lost } = assessment;
      const isBlocked = status === SuspectStatus.Blocked;
      return {
        ...{ key, kind, status, upstreams: lost.map(({ upstream }) => upstream) },
        lastLostMs: lost.at(-1)?.atMs ?? 0,
        blockedUntilMs: isBlocked ? getBlockedUntilMs(assessment) : undefined,
      };
    });
  }

  /** Records a sound answer; true when it changes what a loss says. */
  #addSound(kind: SuspectKind, { key, begunMs }: SoundAnswer): boolean {
    const before = this.#sound[kind].get(key);
    if (!this.#sound[kind].set(key, begunMs)) {
      return false;
    }
    const isNews = this.#losses
      .getNaming(key)
      .some((loss) => isLevelChanged(begunMs, before, loss.atMs));
    this.#assessments = isNews ? undefined : this.#assessments;
    return isNews;
  }

  #newReport(lost: readonly LostUpstream[]): CrashReport {
    const part = [...new Set(lost.flatMap(({ parts }) => parts))];
    const request = [...new Set(lost.flatMap(({ requests }) => requests))];
    return { lost, sound: this.#getSound({ part, request }) };
  }

  #getSound(keys: Readonly<Record<SuspectKind, readonly string[]>>): CrashReport["sound"] {
    const select = (kind: SuspectKind): SoundAnswer[] =>
      keys[kind].flatMap((key) => {
        const begunMs = this.#sound[kind].get(key);
        return begunMs === undefined ? [] : { key, begunMs };
      });
    return { part: select(SuspectKind.Part), request: select(SuspectKind.Request) };
  }

  /** Joins a report of a lost upstream with the earlier ones, and returns what is known then. */
  #merge(report: LostUpstream, from: string): LostUpstream {
    const { loss, isNews } = this.#losses.merge(report);
    this.#assessments = undefined;
    this.#losses.limit(({ parts, requests }) =>
      [...parts, ...requests].some((key) => {
        const assessment = this.#getAssessments().get(key);
        return assessment !== undefined && isRepeated(assessment);
      }),
    );
    if (isNews) {
      const message = isWithdrawn(loss) ? "upstream crash withdrawn" : "upstream crash recorded";
      const { upstream, parts, requests } = loss;
      this.#logger.info(message, {
        ...{ step: "send", peer: upstream, from, parts, requests },
        ageMs: Math.round(this.#clock.now() - loss.atMs),
      });
      this.#update(from);
    }
    return loss;
  }

  /** Forgets what no longer counts of the losses; to be called before the evidence is read. */
  #forgetOld(): void {
    const now = this.#clock.now();
    if (now < this.#forgetAtMs) {
      return;
    }
    const assessments = this.#getAssessments();
    let nextMs = Infinity;
    const hasChanged = this.#losses.retain((loss) => {
      const select = (kind: SuspectKind, keys: readonly string[]): string[] =>
        keys.filter((key) => {
          const untilMs = getKeptUntilMs(loss.atMs, kind, assessments.get(key));
          nextMs = untilMs > now ? Math.min(nextMs, untilMs) : nextMs;
          return untilMs > now;
        });
      const parts = select(SuspectKind.Part, loss.parts);
      return { ...loss, parts, requests: select(SuspectKind.Request, loss.requests) };
    });
    this.#forgetAtMs = nextMs;
    if (hasChanged) {
      this.#update("age");
    }
  }

  #getAssessments(): ReadonlyMap<string, Assessment> {
    this.#assessments ??= assessLosses(this.#losses.all, this.#sound);
    return this.#assessments;
  }

  /** Assesses the losses again, and logs what changed its status. */
  #update(from: string): void {
    this.#assessments = undefined;
    this.#forgetAtMs = -Infinity;
    const before = this.#statuses;
    this.#statuses = new Map();
    for (const assessment of this.#getAssessments().values()) {
      const status = getStatus(assessment);
      const { key, kind, lost, isProven } = assessment;
      if (status) {
        this.#statuses.set(key, { kind, status });
      }
      if (status && status !== before.get(key)?.status) {
        this.#logger.info(`${NAMES[kind]} ${status}`, {
          ...{ step: "admit", [kind]: key, from, isProven },
          upstreams: lost.map(({ upstream }) => upstream),
        });
      }
    }
    for (const [key, { kind }] of before) {
      if (!this.#statuses.has(key)) {
        this.#logger.info(`${NAMES[kind]} cleared`, { step: "admit", [kind]: key, from });
      }
    }
    this.#onChange();
  }
}
