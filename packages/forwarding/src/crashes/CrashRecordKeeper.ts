import { getMessage, sleep, type Cancel, type Clock } from "@lycheepulley/core";
import type { Logger } from "@lycheepulley/telemetry";
import { z } from "zod";

import { pickOwner, type Members } from "../members.js";
import { SuspectKind, type Assessment, type LostUpstream } from "./assessLosses.js";
import type { CrashEvidence, CrashReport } from "./CrashEvidence.js";

/** Interval at which a process looks whether it has become the writer of a record. */
const CHECK_INTERVAL_MS = 1_000;
const FIRST_RETRY_MS = 250;
const MAX_RETRY_MS = 4_000;
/** Records are dropped when their evidence is forgotten, so that one which is there counts however old it seems. */
const MAX_AGE_MS = 1_800_000;

/** Records by key, which outlast all processes. */
export interface CrashRecords {
  /** All records; rejects when they can't be read. */
  read(): Promise<readonly { readonly key: string; readonly value: string }[]>;
  /** Sets a record, or drops it when `value` is undefined; rejects when that may not have happened. */
  write(key: string, value: string | undefined): Promise<void>;
}

/** The losses under one part or request. Times are Unix milliseconds, since monotonic ones end with their process. */
const recordSchema = z.object({
  kind: z.enum([SuspectKind.Part, SuspectKind.Request]),
  lost: z.array(z.object({ upstream: z.string(), lostAtMs: z.number() })),
});
type CrashRecord = z.output<typeof recordSchema>;

interface DueWrite {
  readonly key: string;
  /** Undefined for a record that is to be dropped. */
  readonly assessment: Assessment | undefined;
}

/**
 * Keeps evidence where it outlasts all processes: records of what more than one loss accuses. They are read at the
 * start, and written by one process each, once a loss. No request waits for them.
 */
export class CrashRecordKeeper {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #evidence: CrashEvidence;
  readonly #records: CrashRecords;
  readonly #getMembers: () => Members;
  /** Upstreams in the records that there are, by key. */
  readonly #written = new Map<string, string>();
  readonly #stopped = new AbortController();
  #isRead = false;
  #isWriting = false;
  #hasFailed = false;
  #cancelTimer: Cancel = () => undefined;

  constructor(options: {
    clock: Clock;
    logger: Logger;
    evidence: CrashEvidence;
    records: CrashRecords;
    getMembers: () => Members;
  }) {
    this.#clock = options.clock;
    this.#logger = options.logger;
    this.#evidence = options.evidence;
    this.#records = options.records;
    this.#getMembers = options.getMembers;
  }

  /** Reads the records, and goes on to keep them. */
  start(): void {
    void this.#readUntilDone().then(() => {
      this.#check();
    });
  }

  stop(): void {
    this.#stopped.abort();
    this.#cancelTimer();
  }

  /** To be called when evidence has changed. */
  update(): void {
    if (this.#isRead && !this.#isWriting) {
      void this.#writeAll();
    }
  }

  /** Writes all records again, after the service that has them was restored from an older copy. */
  restore(): void {
    this.#written.clear();
    this.update();
  }

  #check(): void {
    if (this.#stopped.signal.aborted) {
      return;
    }
    this.update();
    this.#cancelTimer = this.#clock.setTimer(() => {
      this.#check();
    }, CHECK_INTERVAL_MS);
  }

  async #readUntilDone(): Promise<void> {
    const { signal } = this.#stopped;
    for (let retryMs = FIRST_RETRY_MS; !signal.aborted; retryMs = doubled(retryMs)) {
      try {
        const records = await this.#records.read();
        this.#isRead = true;
        this.#reportConnection(true, "");
        this.#apply(records);
        return;
      } catch (err) {
        this.#reportConnection(false, getMessage(err));
        await sleep(this.#clock, retryMs, signal);
      }
    }
  }

  #apply(records: Awaited<ReturnType<CrashRecords["read"]>>): void {
    const lost = records.flatMap(({ key, value }) => {
      const record = parseRecord(value);
      if (!record) {
        this.#logger.warn("crash record unusable", { step: "start", key });
        return [];
      }
      this.#written.set(key, getSignature(record.lost));
      return this.#toLosses(key, record);
    });
    this.#logger.info("crash records read", { step: "start", records: records.length });
    const report: CrashReport = { lost, sound: { part: [], request: [] } };
    this.#evidence.recordPeer("records", report);
  }

  #toLosses(key: string, { kind, lost }: CrashRecord): LostUpstream[] {
    const isPart = kind === SuspectKind.Part;
    return lost.map(({ upstream, lostAtMs }) => ({
      ...{ upstream, answeredMs: undefined },
      atMs: this.#clock.now() - toAgeMs(this.#clock.wall() - lostAtMs),
      ...{ parts: isPart ? [key] : [], requests: isPart ? [] : [key] },
    }));
  }

  async #writeAll(): Promise<void> {
    const { signal } = this.#stopped;
    this.#isWriting = true;
    let retryMs = FIRST_RETRY_MS;
    for (let due = this.#findDue(); due && !signal.aborted; due = this.#findDue()) {
      try {
        await this.#write(due);
        this.#reportConnection(true, "");
        retryMs = FIRST_RETRY_MS;
      } catch (err) {
        this.#reportConnection(false, getMessage(err));
        await sleep(this.#clock, retryMs, signal);
        retryMs = doubled(retryMs);
      }
    }
    this.#isWriting = false;
  }

  /** A record that this process has to write, or to drop since the evidence is gone. */
  #findDue(): DueWrite | undefined {
    const members = this.#getMembers();
    const isOwn = (key: string): boolean => pickOwner(key, members) === members.self;
    const repeated = this.#evidence.repeated;
    const missing = repeated.find(
      ({ key, lost }) => this.#written.get(key) !== getSignature(lost) && isOwn(key),
    );
    if (missing) {
      return { key: missing.key, assessment: missing };
    }
    const kept = new Set(repeated.map(({ key }) => key));
    const outdated = [...this.#written.keys()].find((key) => !kept.has(key) && isOwn(key));
    return outdated === undefined ? undefined : { key: outdated, assessment: undefined };
  }

  async #write({ key, assessment }: DueWrite): Promise<void> {
    await this.#records.write(key, assessment && this.#formatRecord(assessment));
    if (assessment) {
      this.#written.set(key, getSignature(assessment.lost));
    } else {
      this.#written.delete(key);
    }
    const upstreams = assessment?.lost.map(({ upstream }) => upstream) ?? [];
    this.#logger.info("crash record written", { step: "admit", key, upstreams });
  }

  #formatRecord({ kind, lost }: Assessment): string {
    const wallMs = this.#clock.wall() - this.#clock.now();
    const record: CrashRecord = {
      kind,
      lost: lost.map(({ upstream, atMs }) => ({ upstream, lostAtMs: Math.round(wallMs + atMs) })),
    };
    return JSON.stringify(record);
  }

  #reportConnection(isConnected: boolean, reason: string): void {
    if (this.#hasFailed === isConnected) {
      this.#hasFailed = !isConnected;
      const message = isConnected
        ? "connection to dependency restored"
        : "connection to dependency lost";
      this.#logger.info(message, { step: "admit", peer: "crash records", reason });
    }
  }
}

/** Age of a loss by the time of day, which may have been set forth or back. */
const toAgeMs = (ms: number): number => Math.min(MAX_AGE_MS, Math.max(0, ms));

const doubled = (retryMs: number): number => Math.min(MAX_RETRY_MS, 2 * retryMs);

const getSignature = (lost: readonly { readonly upstream: string }[]): string =>
  lost
    .map(({ upstream }) => upstream)
    .sort()
    .join();

const parseRecord = (value: string): CrashRecord | undefined => {
  try {
    return recordSchema.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
};
