import type { Cancel, Clock, Random } from "@lycheepulley/core";
import {
  Batcher,
  CrashEvidence,
  isWithdrawn,
  PartGuard,
  sample,
  TrialOwner,
  type CrashReport,
  type Members,
  type PeerTable,
  type TrialPeers,
} from "@lycheepulley/forwarding";
import { newRpcMethod, type DatagramChannel, type NodeServer } from "@lycheepulley/nodes";
import type { Logger } from "@lycheepulley/telemetry";
import { z } from "zod";

import type { PeerCalls } from "./PeerCalls.js";

/** Time in which the requests that one lost upstream had are reported together. */
const NEWS_BATCH_MS = 10;
const MAX_NEWS_BATCH = 100;
/** Interval at which evidence is told again, to peers that missed a message. */
const GOSSIP_INTERVAL_MS = 1_000;
/** Peers that evidence is told to again each time, so that the cost doesn't grow with the fleet. */
const GOSSIP_PEERS = 4;
/** With more live peers, news that accuse nobody go to some of them only. */
const MAX_DIRECT_PEERS = 24;
/** Bounds of one message, which has to fit into a datagram. */
const MAX_LOST = 8;
const MAX_PARTS = 64;
const MAX_SOUND = 128;
const MAX_ID_LENGTH = 256;

const partSchema = z.string().min(1).max(64);
const reportSchema = z.object({
  lost: z
    .array(
      z.object({
        upstream: z.string(),
        lostAgoMs: z.number(),
        parts: z.array(partSchema).max(MAX_PARTS),
        answeredAgoMs: z.number().optional(),
      }),
    )
    .max(MAX_LOST),
  sound: z.array(z.object({ part: partSchema, begunAgoMs: z.number() })).max(MAX_SOUND),
});
type ReportMessage = z.output<typeof reportSchema>;

/** Processes of an earlier build send no id. */
const trialKey = { part: partSchema, id: z.string().max(MAX_ID_LENGTH).optional() };
const trialMethod = newRpcMethod(
  "crash.trial",
  z.object({
    host: z.string(),
    ...trialKey,
    parts: z.array(partSchema).max(MAX_PARTS),
    report: reportSchema,
  }),
  z.object({ isGranted: z.boolean(), retryMs: z.number() }),
);
const trialEndSchema = z.object(trialKey);

/** Exchanges evidence on parts of prompts that crash upstreams, and the trials of such parts, with peers. */
export class CrashExchange {
  readonly guard: PartGuard;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #channel: DatagramChannel;
  readonly #peers: PeerTable;
  readonly #calls: PeerCalls;
  readonly #host: string;
  readonly #owner: TrialOwner;
  readonly #news: Batcher<CrashReport>;
  #cancelTimer: Cancel = () => undefined;

  constructor(options: {
    clock: Clock;
    random: Random;
    channel: DatagramChannel;
    peers: PeerTable;
    logger: Logger;
    host: string;
    calls: PeerCalls;
    getMembers: () => Members;
  }) {
    const { clock, logger, getMembers } = options;
    this.#clock = clock;
    this.#random = options.random;
    this.#channel = options.channel;
    this.#peers = options.peers;
    this.#calls = options.calls;
    this.#host = options.host;
    this.#news = new Batcher({
      ...{ clock, delayMs: NEWS_BATCH_MS, maxItems: MAX_NEWS_BATCH },
      send: (reports) => {
        this.#sendNews(joinReports(reports));
      },
    });
    const evidence = new CrashEvidence({
      ...{ clock, logger },
      onNews: (report) => {
        this.#news.add(report);
      },
    });
    this.#owner = new TrialOwner({ clock, evidence });
    const peers: TrialPeers = {
      ask: (host, { part, id, parts, report }) =>
        this.#calls.call(host, trialMethod, {
          ...{ host: this.#host, part, id, parts: [...parts], report: this.#toMessage(report) },
        }),
      end: (host, { part, id }) => {
        this.#channel.notify("crash.trial.end", { part, id }, [host]);
      },
    };
    this.guard = new PartGuard({
      ...{ clock, evidence, owner: this.#owner, peers, getMembers, logger },
    });
  }

  start(server: NodeServer): void {
    this.#channel.handle("crash.evidence", reportSchema, (report, host) => {
      this.guard.evidence.recordPeer(host, this.#toReport(report));
    });
    this.#channel.handle("crash.trial.end", trialEndSchema, ({ part, id }) => {
      this.#owner.end({ part, id });
    });
    server.handle(trialMethod, ({ host, part, id, parts, report }) => {
      this.guard.evidence.recordPeer(host, this.#toReport(report));
      return this.#owner.take(host, { part, id, parts });
    });
    this.#gossip();
  }

  stop(): void {
    this.#cancelTimer();
  }

  /** Tells all evidence to a process that has started, or was frozen or cut off. */
  inform(host: string): void {
    this.#tell(this.guard.evidence.getReport(), [host]);
  }

  #gossip(): void {
    this.#tell(
      this.guard.evidence.getReport(),
      sample(this.#liveHosts, GOSSIP_PEERS, this.#random),
    );
    this.#cancelTimer = this.#clock.setTimer(() => {
      this.#gossip();
    }, GOSSIP_INTERVAL_MS);
  }

  #sendNews(report: CrashReport): void {
    const hosts = this.#liveHosts;
    const isAccusing = report.lost.some((loss) => !isWithdrawn(loss));
    this.#tell(report, isAccusing ? hosts : sample(hosts, MAX_DIRECT_PEERS, this.#random));
  }

  #tell(report: CrashReport, hosts: readonly string[]): void {
    if (report.lost.length + report.sound.length > 0) {
      this.#channel.notify("crash.evidence", this.#toMessage(report), hosts);
    }
  }

  get #liveHosts(): string[] {
    return this.#peers.getLive().map(({ host }) => host);
  }

  /** The report with times as ages; a random part of one that is too large. */
  #toMessage({ lost, sound }: CrashReport): ReportMessage {
    const now = this.#clock.now();
    return {
      lost: sample(lost, MAX_LOST, this.#random).map(({ upstream, atMs, parts, answeredMs }) => ({
        ...{ upstream, lostAgoMs: now - atMs, parts: [...parts] },
        ...(answeredMs !== undefined && { answeredAgoMs: now - answeredMs }),
      })),
      sound: sample(sound, MAX_SOUND, this.#random).map(({ part, begunMs }) => ({
        ...{ part, begunAgoMs: now - begunMs },
      })),
    };
  }

  #toReport({ lost, sound }: ReportMessage): CrashReport {
    const now = this.#clock.now();
    return {
      lost: lost.map(({ upstream, lostAgoMs, parts, answeredAgoMs }) => ({
        ...{ upstream, atMs: now - lostAgoMs, parts },
        answeredMs: answeredAgoMs === undefined ? undefined : now - answeredAgoMs,
      })),
      sound: sound.map(({ part, begunAgoMs }) => ({ part, begunMs: now - begunAgoMs })),
    };
  }
}

/** One report with the newest of each upstream and part. */
const joinReports = (reports: readonly CrashReport[]): CrashReport => {
  const lost = new Map(
    reports.flatMap((report) => report.lost.map((loss) => [loss.upstream, loss])),
  );
  const sound = new Map(
    reports.flatMap((report) => report.sound.map((known) => [known.part, known])),
  );
  return { lost: [...lost.values()], sound: [...sound.values()] };
};
