import type { Clock } from "@lycheepulley/core";
import type { Logger } from "@lycheepulley/telemetry";

import {
  assessParts,
  findCompanions,
  isWithdrawn,
  joinLosses,
  type LostUpstream,
  type PartAssessment,
} from "./assessParts.js";
import { getBlockedUntilMs, getKeptUntilMs, getStatus, PartStatus } from "./partStatus.js";

const MAX_LOST_UPSTREAMS = 200;
const MAX_PARTS_PER_UPSTREAM = 64;
const MAX_SOUND_PARTS = 4_096;
const MAX_ANSWERED_UPSTREAMS = 4_096;

/** A part of prompts on which an upstream wrote an answer that began at `begunMs` without a crash. */
export interface SoundPart {
  readonly part: string;
  readonly begunMs: number;
}

/** Evidence that processes exchange. Its merge doesn't depend on order, and repeats change nothing. */
export interface CrashReport {
  readonly lost: readonly LostUpstream[];
  readonly sound: readonly SoundPart[];
}

/** What holds for a request with certain parts. */
export interface Standing {
  /** Parts that may crash an upstream; a request with one needs a trial. */
  readonly suspects: readonly string[];
  /** The part because of which the request isn't sent. */
  readonly blocked: { readonly part: string; readonly untilMs: number } | undefined;
}

/** A part of prompts under suspicion. */
export interface SuspectPart {
  readonly part: string;
  readonly status: PartStatus;
  /** Upstreams whose loss the part may have caused. */
  readonly upstreams: readonly string[];
  readonly lastLostMs: number;
  /** Time of the next trial of a blocked part. */
  readonly blockedUntilMs: number | undefined;
}

const FREE: Standing = { suspects: [], blocked: undefined };

/**
 * Evidence on which part of prompts crashes upstreams, from all processes. A loss accuses all shared
 * parts of the prompts that were being answered there; later answers and losses tell them apart.
 */
export class CrashEvidence {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #onNews: (report: CrashReport) => void;
  readonly #lost = new Map<string, LostUpstream>();
  /** Parts by the newest beginning of a sound answer, the longest unused first. */
  readonly #sound = new Map<string, number>();
  /** Upstreams by the newest sending time of a request that they answered. */
  readonly #answered = new Map<string, number>();
  #assessments: ReadonlyMap<string, PartAssessment> | undefined = new Map();
  #statuses = new Map<string, PartStatus>();
  /** Time at which the next loss is to be forgotten, or earlier. */
  #forgetAtMs = -Infinity;

  constructor(options: {
    clock: Clock;
    logger: Logger;
    /** Called with evidence of this process that peers may lack. */
    onNews: (report: CrashReport) => void;
  }) {
    this.#clock = options.clock;
    this.#logger = options.logger;
    this.#onNews = options.onNews;
  }

  /** Monotonic time by which evidence is recorded. */
  now(): number {
    return this.#clock.now();
  }

  /** Records that an upstream was lost while it answered, or was about to answer, a prompt with these parts. */
  recordLoss(upstream: string, parts: readonly string[]): void {
    if (parts.length === 0) {
      return;
    }
    const atMs = this.#clock.now();
    const loss = this.#merge({ upstream, atMs, parts, answeredMs: undefined }, "own");
    this.#onNews({ lost: [loss], sound: this.#getSound(loss.parts) });
  }

  /** Records that an upstream answered a request that was sent at `sentMs`, so that it wasn't lost before. */
  recordAnswer(upstream: string, sentMs: number): void {
    setNewest(this.#answered, upstream, sentMs, MAX_ANSWERED_UPSTREAMS);
    const loss = this.#lost.get(upstream);
    if (loss && !isWithdrawn(loss) && sentMs > loss.atMs) {
      this.#onNews({ lost: [this.#merge(loss, "own")], sound: [] });
    }
  }

  /** Records that an answer on these parts, begun at `begunMs`, went on without a crash. */
  recordSound(parts: readonly string[], begunMs: number): void {
    const news = parts.filter((part) => this.#addSound(part, begunMs));
    if (news.length > 0) {
      this.#update("own");
      this.#onNews({ lost: [], sound: this.#getSound(news) });
    }
  }

  /** Applies the evidence of a peer, and tells what the peer's conclusions lack. */
  recordPeer(peer: string, { lost, sound }: CrashReport): void {
    sound.forEach(({ part, begunMs }) => this.#addSound(part, begunMs));
    const told = new Map(sound.map(({ part, begunMs }) => [part, begunMs]));
    const withdrawn: LostUpstream[] = [];
    const lacking = new Set<string>();
    for (const report of lost) {
      const loss = this.#merge(report, peer);
      if (isWithdrawn(loss) && !isWithdrawn(report)) {
        withdrawn.push(loss);
      }
      loss.parts
        .filter((part) => (this.#sound.get(part) ?? -Infinity) > (told.get(part) ?? -Infinity))
        .filter((part) => isLevelChanged(this.#sound.get(part), told.get(part), loss.atMs))
        .forEach((part) => lacking.add(part));
    }
    this.#update(peer);
    if (withdrawn.length + lacking.size > 0) {
      this.#onNews({ lost: withdrawn, sound: this.#getSound([...lacking]) });
    }
  }

  /** Lifts the suspicion of a part, by an operator; false when there is none. */
  lift(part: string): boolean {
    if (!this.#getAssessments().has(part)) {
      return false;
    }
    this.#logger.info("prompt part lifted by an operator", { step: "admit", part });
    this.recordSound([part], this.#clock.now());
    return true;
  }

  /** What holds for a request with these parts now. */
  getStanding(parts: readonly string[]): Standing {
    if (this.#lost.size === 0 || parts.length === 0) {
      return FREE;
    }
    this.#forgetOld();
    const assessments = this.#getAssessments();
    const suspects: string[] = [];
    for (const part of parts) {
      const assessment = assessments.get(part);
      const status = assessment && getStatus(assessment);
      if (!assessment || !status) {
        continue;
      }
      suspects.push(part);
      // Without all parts that are under the same suspicion, the request may be sound.
      const isCause =
        status === PartStatus.Blocked &&
        findCompanions(assessments, assessment).every((companion) => parts.includes(companion));
      const untilMs = getBlockedUntilMs(assessment);
      if (isCause && this.#clock.now() < untilMs) {
        return { suspects: [part], blocked: { part, untilMs } };
      }
    }
    return suspects.length > 0 ? { suspects, blocked: undefined } : FREE;
  }

  /** Evidence about all lost upstreams, or those that concern one of `parts`. */
  getReport(parts?: readonly string[]): CrashReport {
    this.#forgetOld();
    const lost = [...this.#lost.values()].filter(
      (loss) => !parts || loss.parts.some((part) => parts.includes(part)),
    );
    return { lost, sound: this.#getSound([...new Set(lost.flatMap((loss) => loss.parts))]) };
  }

  /** Parts under suspicion, for operators. */
  get suspects(): readonly SuspectPart[] {
    this.#forgetOld();
    return [...this.#getAssessments().values()].flatMap((assessment) => {
      const status = getStatus(assessment);
      if (!status) {
        return [];
      }
      const { part, lost } = assessment;
      const isBlocked = status === PartStatus.Blocked;
      return {
        ...{ part, status, upstreams: lost.map(({ upstream }) => upstream) },
        lastLostMs: lost.at(-1)?.atMs ?? 0,
        blockedUntilMs: isBlocked ? getBlockedUntilMs(assessment) : undefined,
      };
    });
  }

  /** Records a sound answer; true when it changes what a loss says. */
  #addSound(part: string, begunMs: number): boolean {
    const before = this.#sound.get(part);
    if (!setNewest(this.#sound, part, begunMs, MAX_SOUND_PARTS)) {
      return false;
    }
    const isNews = [...this.#lost.values()].some(
      (loss) => loss.parts.includes(part) && isLevelChanged(begunMs, before, loss.atMs),
    );
    this.#assessments = isNews ? undefined : this.#assessments;
    return isNews;
  }

  #getSound(parts: readonly string[]): SoundPart[] {
    return parts.flatMap((part) => {
      const begunMs = this.#sound.get(part);
      return begunMs === undefined ? [] : { part, begunMs };
    });
  }

  /** Joins a report of a lost upstream with the earlier ones, and returns what is known then. */
  #merge(report: LostUpstream, from: string): LostUpstream {
    const { upstream } = report;
    const known = this.#lost.get(upstream);
    const answered = { ...report, answeredMs: this.#answered.get(upstream) };
    const joined = [report, ...(known ? [known] : [])].reduce(joinLosses, answered);
    const loss = { ...joined, parts: joined.parts.slice(0, MAX_PARTS_PER_UPSTREAM) };
    this.#lost.set(upstream, loss);
    this.#assessments = undefined;
    const [oldest] = this.#lost.keys();
    if (this.#lost.size > MAX_LOST_UPSTREAMS && oldest !== undefined) {
      this.#lost.delete(oldest);
    }
    const hasChanged =
      known?.parts.length !== loss.parts.length || isWithdrawn(known) !== isWithdrawn(loss);
    if (hasChanged) {
      const message = isWithdrawn(loss) ? "upstream crash withdrawn" : "upstream crash recorded";
      this.#logger.info(message, {
        ...{ step: "send", peer: upstream, from, parts: loss.parts },
        ageMs: Math.round(this.#clock.now() - loss.atMs),
      });
      this.#update(from);
    }
    return loss;
  }

  /** Forgets losses that no longer count; to be called before the evidence is read. */
  #forgetOld(): void {
    const now = this.#clock.now();
    if (now < this.#forgetAtMs) {
      return;
    }
    const assessments = this.#getAssessments();
    this.#forgetAtMs = Infinity;
    let hasOld = false;
    for (const { upstream, atMs, parts } of this.#lost.values()) {
      const accused = parts.flatMap((part) => assessments.get(part) ?? []);
      const keptUntilMs = getKeptUntilMs(atMs, accused);
      if (keptUntilMs <= now) {
        this.#lost.delete(upstream);
        hasOld = true;
      } else {
        this.#forgetAtMs = Math.min(this.#forgetAtMs, keptUntilMs);
      }
    }
    if (hasOld) {
      this.#update("age");
    }
  }

  #getAssessments(): ReadonlyMap<string, PartAssessment> {
    this.#assessments ??= assessParts([...this.#lost.values()], this.#sound);
    return this.#assessments;
  }

  /** Assesses the parts again, and logs those whose status changed. */
  #update(from: string): void {
    this.#assessments = undefined;
    this.#forgetAtMs = -Infinity;
    const before = this.#statuses;
    this.#statuses = new Map();
    for (const assessment of this.#getAssessments().values()) {
      const status = getStatus(assessment);
      if (status) {
        this.#statuses.set(assessment.part, status);
      }
      if (status && status !== before.get(assessment.part)) {
        const { part, lost, isProven } = assessment;
        this.#logger.info(`prompt part ${status}`, {
          ...{ step: "admit", part, from, isProven },
          upstreams: lost.map(({ upstream }) => upstream),
        });
      }
    }
    for (const part of before.keys()) {
      if (!this.#statuses.has(part)) {
        this.#logger.info("prompt part cleared", { step: "admit", part, from });
      }
    }
  }
}

/** Keeps the highest value of a key and drops the entry that was set longest ago; false if nothing changed. */
const setNewest = (
  map: Map<string, number>,
  key: string,
  value: number,
  maxSize: number,
): boolean => {
  const before = map.get(key);
  if (before !== undefined && before >= value) {
    return false;
  }
  map.delete(key);
  map.set(key, value);
  const [oldest] = map.keys();
  if (map.size > maxSize && oldest !== undefined) {
    map.delete(oldest);
  }
  return true;
};

/** True when a sound answer begun at `begunMs`, unlike one at `beforeMs`, says something new about a loss. */
const isLevelChanged = (
  begunMs: number | undefined,
  beforeMs: number | undefined,
  lostMs: number,
): boolean => {
  const getLevel = (ms: number | undefined): number => (ms === undefined ? 0 : ms > lostMs ? 2 : 1);
  return getLevel(begunMs) > getLevel(beforeMs);
};
