import {
  isWithdrawn,
  sample,
  SuspectKind,
  type CrashReport,
  type LostUpstream,
  type SoundAnswer,
} from "@lycheepulley/forwarding";
import type { Clock, Random } from "@lycheepulley/core";
import { newRpcMethod } from "@lycheepulley/nodes";
import { z } from "zod";

/** Bounds of one message, which has to fit into a datagram. */
const MAX_LOST = 8;
const MAX_PARTS = 64;
const MAX_REQUESTS = 128;
const MAX_NAMES = 256;
const MAX_SOUND = 128;
const MAX_ID_LENGTH = 256;
/** Messages in which one process is told all evidence. */
const MAX_MESSAGES = 30;

const keySchema = z.string().min(1).max(64);
const soundSchema = z.array(z.object({ part: keySchema, begunAgoMs: z.number() })).max(MAX_SOUND);

/** Evidence on lost upstreams, with times as ages. Processes of protocol 2 name and read no requests. */
export const crashReportSchema = z.object({
  lost: z
    .array(
      z.object({
        upstream: z.string(),
        lostAgoMs: z.number(),
        parts: z.array(keySchema).max(MAX_PARTS),
        requests: z.array(keySchema).max(MAX_REQUESTS).default([]),
        answeredAgoMs: z.number().optional(),
      }),
    )
    .max(MAX_LOST),
  sound: soundSchema,
  soundRequests: soundSchema.default([]),
});
export type CrashReportMessage = z.output<typeof crashReportSchema>;

/** An upstream that broke off while it ran a request with this fingerprint, as protocol 2 tells it. */
export const crashStrikeSchema = z.object({ fingerprint: keySchema, upstream: z.string() });

/** Processes of an earlier build send no id. */
const trialKey = { part: keySchema, id: z.string().max(MAX_ID_LENGTH).optional() };

/** Asks the owner of a part or a request for a trial. */
export const trialMethod = newRpcMethod(
  "crash.trial",
  z.object({
    host: z.string(),
    ...trialKey,
    parts: z.array(keySchema).max(MAX_PARTS),
    request: keySchema.optional(),
    report: crashReportSchema,
  }),
  z.object({ isGranted: z.boolean(), retryMs: z.number() }),
);

/** Tells the owner that a trial ended. */
export const trialEndSchema = z.object(trialKey);

const countNames = ({ parts, requests }: LostUpstream): number => parts.length + requests.length;

/** Splits losses into groups that one message each can hold. */
const splitLosses = (lost: readonly LostUpstream[]): LostUpstream[][] => {
  const groups: LostUpstream[][] = [];
  let names = 0;
  for (const loss of lost) {
    const group = groups.at(-1);
    names += countNames(loss);
    if (group && group.length < MAX_LOST && names <= MAX_NAMES) {
      group.push(loss);
    } else {
      groups.push([loss]);
      names = countNames(loss);
    }
  }
  return groups;
};

/** Writes evidence into messages, and reads it from them. */
export class CrashMessages {
  readonly #clock: Clock;
  readonly #random: Random;

  constructor({ clock, random }: { clock: Clock; random: Random }) {
    this.#clock = clock;
    this.#random = random;
  }

  /** Messages with a report; losses that name one of `first` come first, and the others in random order. */
  write(
    { lost, sound }: CrashReport,
    first: ReadonlySet<string> = new Set(),
  ): CrashReportMessage[] {
    const isFirst = ({ parts, requests }: LostUpstream): boolean =>
      parts.some((part) => first.has(part)) || requests.some((request) => first.has(request));
    const shuffled = sample(lost, lost.length, this.#random);
    const ordered = [...shuffled.filter(isFirst), ...shuffled.filter((loss) => !isFirst(loss))];
    const named = new Set(lost.flatMap(({ parts, requests }) => [...parts, ...requests]));
    const messages = splitLosses(ordered)
      .slice(0, MAX_MESSAGES)
      .map((group) => this.#writeGroup(group, sound));
    const others = this.#writeSound(sound, (key) => !named.has(key));
    const hasOthers = others.sound.length + others.soundRequests.length > 0;
    return hasOthers ? [...messages, { lost: [], ...others }] : messages;
  }

  /** One message with as much of a report as it can hold. */
  writeOne(report: CrashReport, first?: ReadonlySet<string>): CrashReportMessage {
    return this.write(report, first)[0] ?? { lost: [], sound: [], soundRequests: [] };
  }

  read({ lost, sound, soundRequests }: CrashReportMessage): CrashReport {
    const now = this.#clock.now();
    const readSound = (answers: CrashReportMessage["sound"]): SoundAnswer[] =>
      answers.map(({ part, begunAgoMs }) => ({ key: part, begunMs: now - begunAgoMs }));
    return {
      lost: lost.map(({ upstream, lostAgoMs, parts, requests, answeredAgoMs }) => ({
        ...{ upstream, atMs: now - lostAgoMs, parts, requests },
        answeredMs: answeredAgoMs === undefined ? undefined : now - answeredAgoMs,
      })),
      sound: { part: readSound(sound), request: readSound(soundRequests) },
    };
  }

  #writeGroup(lost: readonly LostUpstream[], sound: CrashReport["sound"]): CrashReportMessage {
    const now = this.#clock.now();
    const named = new Set(lost.flatMap(({ parts, requests }) => [...parts, ...requests]));
    return {
      lost: lost.map(({ upstream, atMs, parts, requests, answeredMs }) => ({
        ...{ upstream, lostAgoMs: now - atMs, parts: [...parts], requests: [...requests] },
        ...(answeredMs !== undefined && { answeredAgoMs: now - answeredMs }),
      })),
      ...this.#writeSound(sound, (key) => named.has(key)),
    };
  }

  #writeSound(
    sound: CrashReport["sound"],
    isMeant: (key: string) => boolean,
  ): Pick<CrashReportMessage, "sound" | "soundRequests"> {
    const now = this.#clock.now();
    const write = (kind: SuspectKind): CrashReportMessage["sound"] =>
      sample(
        sound[kind].filter(({ key }) => isMeant(key)),
        MAX_SOUND,
        this.#random,
      ).map(({ key, begunMs }) => ({ part: key, begunAgoMs: now - begunMs }));
    return { sound: write(SuspectKind.Part), soundRequests: write(SuspectKind.Request) };
  }
}

/** One report with the newest of each upstream and key. */
export const joinReports = (reports: readonly CrashReport[]): CrashReport => {
  const lost = new Map(
    reports.flatMap((report) => report.lost.map((loss) => [loss.upstream, loss])),
  );
  const joinSound = (kind: SuspectKind): SoundAnswer[] => {
    const answers = reports.flatMap(({ sound }) => sound[kind]);
    return [...new Map(answers.map((answer) => [answer.key, answer])).values()];
  };
  const sound = { part: joinSound(SuspectKind.Part), request: joinSound(SuspectKind.Request) };
  return { lost: [...lost.values()], sound };
};

/** Upstreams of a report that were lost, each with a request that it ran. */
export const listStrikes = ({ lost }: CrashReport): z.output<typeof crashStrikeSchema>[] =>
  lost
    .filter((loss) => !isWithdrawn(loss))
    .flatMap(({ upstream, requests }) =>
      requests.map((fingerprint) => ({ fingerprint, upstream })),
    );
