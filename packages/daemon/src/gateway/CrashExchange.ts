import type { Cancel, Clock, Random } from "@lycheepulley/core";
import {
  Batcher,
  CrashEvidence,
  CrashGuard,
  CrashRecordKeeper,
  isWithdrawn,
  sample,
  TrialOwner,
  type CrashRecords,
  type CrashReport,
  type Members,
  type PeerIdentity,
  type PeerTable,
  type TrialPeers,
} from "@lycheepulley/forwarding";
import type { DatagramChannel, NodeServer } from "@lycheepulley/nodes";
import type { Logger } from "@lycheepulley/telemetry";

import {
  CrashMessages,
  crashReportSchema,
  crashStrikeSchema,
  joinReports,
  listStrikes,
  trialEndSchema,
  trialMethod,
} from "./crashMessages.js";
import type { PeerCalls } from "./PeerCalls.js";
import { readsCrashRequests } from "./peerMessages.js";

/** Time in which the requests that one lost upstream had are reported together. */
const NEWS_BATCH_MS = 10;
const MAX_NEWS_BATCH = 100;
/** Interval at which evidence is told again, to peers that missed a message. */
const GOSSIP_INTERVAL_MS = 1_000;
/** Peers that evidence is told to again each time, so that the cost doesn't grow with the fleet. */
const GOSSIP_PEERS = 4;
/** Losses that are older are told again only if they are not the only ones. */
const GOSSIP_AGE_MS = 60_000;
/** With more live peers, news that accuse nobody go to some of them only. */
const MAX_DIRECT_PEERS = 24;

/** Exchanges evidence on what crashes upstreams, and the trials of what is suspect, with peers. */
export class CrashExchange {
  readonly guard: CrashGuard;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #channel: DatagramChannel;
  readonly #peers: PeerTable;
  readonly #messages: CrashMessages;
  readonly #owner: TrialOwner;
  readonly #news: Batcher<CrashReport>;
  readonly #keeper: CrashRecordKeeper | undefined;
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
    /** Outlast all processes; undefined where nothing does. */
    crashRecords?: CrashRecords | undefined;
  }) {
    const { clock, logger, getMembers, host: self, calls, crashRecords } = options;
    this.#clock = clock;
    this.#random = options.random;
    this.#channel = options.channel;
    this.#peers = options.peers;
    this.#messages = new CrashMessages(options);
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
      onChange: () => {
        this.#keeper?.update();
      },
    });
    this.#keeper =
      crashRecords &&
      new CrashRecordKeeper({ clock, logger, evidence, records: crashRecords, getMembers });
    this.#owner = new TrialOwner({ clock, evidence });
    const peers: TrialPeers = {
      ask: (host, { key, id, parts, request, report }) =>
        calls.call(host, trialMethod, {
          ...{ host: self, part: key, id, parts: [...parts], request },
          report: this.#messages.writeOne(report),
        }),
      end: (host, { key, id }) => {
        // The owner has to know how a trial ended before it grants the next one.
        this.#news.flush();
        this.#channel.notify("crash.trial.end", { part: key, id }, [host]);
      },
    };
    this.guard = new CrashGuard({
      ...{ clock, evidence, owner: this.#owner, peers, getMembers, logger },
    });
  }

  start(server: NodeServer): void {
    const { evidence } = this.guard;
    this.#channel.handle("crash.evidence", crashReportSchema, (report, host) => {
      evidence.recordPeer(host, this.#messages.read(report));
    });
    this.#channel.handle("crash.strike", crashStrikeSchema, ({ fingerprint, upstream }, host) => {
      const loss = { upstream, lostAgoMs: 0, parts: [], requests: [fingerprint] };
      const report = { lost: [loss], sound: [], soundRequests: [] };
      evidence.recordPeer(host, this.#messages.read(report));
    });
    this.#channel.handle("crash.trial.end", trialEndSchema, ({ part, id }) => {
      this.#owner.end({ key: part, id });
    });
    server.handle(trialMethod, ({ host, part, id, parts, request, report }) => {
      evidence.recordPeer(host, this.#messages.read(report));
      return this.#owner.take(host, { key: part, id, parts, request });
    });
    this.#gossip();
    this.#keeper?.start();
  }

  stop(): void {
    this.#cancelTimer();
    this.#keeper?.stop();
  }

  /** Tells all evidence to a process that has started, or was frozen or cut off. */
  inform(host: string): void {
    this.#tell(this.guard.evidence.getReport(), [host]);
  }

  /** Writes all records again, which may be lost. */
  restoreRecords(): void {
    this.#keeper?.restore();
  }

  /** Tells some peers again what is new or repeated. */
  #gossip(): void {
    const { evidence } = this.guard;
    const repeated = this.#repeated;
    const { lost, sound } = evidence.getReport();
    const told = lost.filter(
      ({ atMs, parts, requests }) =>
        this.#clock.now() - atMs < GOSSIP_AGE_MS ||
        [...parts, ...requests].some((key) => repeated.has(key)),
    );
    if (told.length > 0) {
      const message = this.#messages.writeOne({ lost: told, sound }, repeated);
      const hosts = sample(getHosts(this.#peers.getLive()), GOSSIP_PEERS, this.#random);
      this.#channel.notify("crash.evidence", message, hosts);
    }
    this.#cancelTimer = this.#clock.setTimer(() => {
      this.#gossip();
    }, GOSSIP_INTERVAL_MS);
  }

  get #repeated(): ReadonlySet<string> {
    return new Set(this.guard.evidence.repeated.map(({ key }) => key));
  }

  #sendNews(report: CrashReport): void {
    const live = this.#peers.getLive();
    const hosts = getHosts(live);
    const isAccusing = report.lost.some((loss) => !isWithdrawn(loss));
    this.#tell(report, isAccusing ? hosts : sample(hosts, MAX_DIRECT_PEERS, this.#random));
    const earlier = getHosts(live.filter((peer) => !readsCrashRequests(peer)));
    if (earlier.length > 0) {
      listStrikes(report).forEach((strike) => {
        this.#channel.notify("crash.strike", strike, earlier);
      });
    }
  }

  #tell(report: CrashReport, hosts: readonly string[]): void {
    this.#messages.write(report, this.#repeated).forEach((message) => {
      this.#channel.notify("crash.evidence", message, hosts);
    });
  }
}

const getHosts = (peers: readonly PeerIdentity[]): string[] => peers.map(({ host }) => host);
