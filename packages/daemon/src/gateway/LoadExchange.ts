import { type Cancel, type Clock } from "@lycheepulley/core";
import {
  Batcher,
  type LoadChange,
  type LoadTracker,
  type PeerIdentity,
  type PeerLoads,
  type RelayedChange,
  type UpstreamLoad,
} from "@lycheepulley/forwarding";
import type { DatagramChannel } from "@lycheepulley/nodes";
import type { Logger } from "@lycheepulley/telemetry";

import {
  loadAnswerParser,
  loadBatchParser,
  loadChangeParser,
  loadQuestionSchema,
  MAX_QUESTION_UPSTREAMS,
  PROTOCOL_WITH_QUESTIONS,
  toLoadAnswer,
  toLoads,
} from "./peerMessages.js";
import { RelayRole, type RelayTopology } from "./RelayTopology.js";

/** Time for which relays collect changes for processes that don't ask, milliseconds. */
const LOAD_BATCH_MS = 30;
/** Time after which a change of the load is known to a peer, directly and through the batches of a relay. */
const DIRECT_LAG_MS = 5;
const RELAYED_LAG_MS = 2 * LOAD_BATCH_MS;
/** Batches have to fit into a datagram. */
const MAX_LOAD_BATCH = 80;
/** Time that a request waits for a relay's answer, a small part of the shortest objectives. */
const ANSWER_TIMEOUT_MS = 25;
/** Time for which a relay that didn't answer isn't asked. */
const AVOIDED_MS = 1_000;
/** Time after which a process that has just started knows of the requests of all others. */
const LEARNING_MS = 2_500;

type Channel = Pick<DatagramChannel, "handle" | "notify">;
type Loads = ReadonlyMap<string, UpstreamLoad>;

/**
 * Exchanges load changes with peers by datagram. In a large fleet each change goes to the relays of
 * all failure domains, and the other processes ask a relay of their own domain when they place a request.
 */
export class LoadExchange implements PeerLoads {
  readonly #clock: Clock;
  readonly #channel: Channel;
  readonly #logger: Logger;
  readonly #topology: RelayTopology;
  readonly #getIdentity: () => PeerIdentity;
  readonly #getPeers: () => readonly PeerIdentity[];
  readonly #host: string;
  readonly #getLoadTracker: () => LoadTracker;
  readonly #relay: Batcher<RelayedChange>;
  readonly #waiting = new Map<number, (loads: Loads | undefined) => void>();
  readonly #avoidedUntilMs = new Map<string, number>();
  readonly #startedMs: number;
  /** The same as long as the process runs. */
  #incarnation: number | undefined;
  #seq = 0;
  #nextQuestion = 1;

  constructor(options: {
    clock: Clock;
    channel: Channel;
    logger: Logger;
    topology: RelayTopology;
    /** Host of this process. */
    host: string;
    getIdentity: () => PeerIdentity;
    getPeers: () => readonly PeerIdentity[];
    getLoadTracker: () => LoadTracker;
  }) {
    this.#clock = options.clock;
    this.#channel = options.channel;
    this.#logger = options.logger;
    this.#topology = options.topology;
    this.#getIdentity = options.getIdentity;
    this.#getPeers = options.getPeers;
    this.#host = options.host;
    this.#getLoadTracker = options.getLoadTracker;
    this.#startedMs = options.clock.now();
    this.#relay = new Batcher({
      ...{ clock: options.clock, delayMs: LOAD_BATCH_MS, maxItems: MAX_LOAD_BATCH },
      send: (changes) => {
        this.#channel.notify("load.batch", { changes }, this.#getListeners());
      },
    });
  }

  start(): void {
    this.#channel.handle("load.change", loadChangeParser, (change) => {
      this.#apply(change);
    });
    this.#channel.handle("load.relay", loadChangeParser, (change) => {
      this.#apply(change);
      this.#relay.add(change);
    });
    this.#channel.handle("load.batch", loadBatchParser, ({ changes }) => {
      changes.forEach((change) => {
        this.#apply(change);
      });
    });
    this.#channel.handle("load.ask", loadQuestionSchema, ({ question, upstreams }, host) => {
      this.#answer(question, upstreams, host);
    });
    this.#channel.handle("load.answer", loadAnswerParser, (answer) => {
      this.#waiting.get(answer.question)?.(answer.isWhole ? toLoads(answer) : undefined);
    });
  }

  /** Number of this process's newest message on its load. */
  get seq(): number {
    return this.#seq;
  }

  nextSeq(): number {
    this.#seq += 1;
    return this.#seq;
  }

  /** Sends a change of this process's load to the peers, directly or through relays. */
  notify(change: LoadChange): void {
    const host = this.#host;
    this.#incarnation ??= this.#getIdentity().incarnation;
    const message = { host, incarnation: this.#incarnation, seq: this.nextSeq(), ...change };
    if (!this.#topology.isRelayed) {
      this.#channel.notify("load.change", message, getHosts(this.#getPeers()));
      return;
    }
    const relays = getHosts(this.#topology.getRelays());
    if (relays.includes(host)) {
      this.#relay.add(message);
    }
    const others = relays.filter((relay) => relay !== host);
    this.#channel.notify("load.relay", message, others);
  }

  /** Time after which a change of a process's load is known to this one, milliseconds. */
  get lagMs(): number {
    const [inCharge] = this.#topology.getOtherRelays();
    const isTold = this.#topology.role === RelayRole.Direct || !inCharge;
    return isTold || this.#isInCharge ? DIRECT_LAG_MS : RELAYED_LAG_MS;
  }

  get isNeeded(): boolean {
    if (this.#topology.role !== RelayRole.Member) {
      return false;
    }
    // A relay of an older build doesn't answer, and sends all changes instead.
    const [inCharge] = this.#topology.getOtherRelays();
    return inCharge !== undefined && asksForLoads(inCharge);
  }

  async fetch(upstreams: readonly string[]): Promise<Loads | undefined> {
    this.#forgetAvoided();
    const relays = this.#topology
      .getOtherRelays()
      .filter((peer) => asksForLoads(peer) && !this.#avoidedUntilMs.has(peer.host));
    for (const { host } of relays) {
      const loads = await this.#ask(host, upstreams.slice(0, MAX_QUESTION_UPSTREAMS));
      if (loads) {
        return loads;
      }
      this.#avoidedUntilMs.set(host, this.#clock.now() + AVOIDED_MS);
      this.#logger.info("load unknown at relay", { step: "placement", peer: host });
    }
    return undefined;
  }

  #forgetAvoided(): void {
    const now = this.#clock.now();
    for (const [host, untilMs] of this.#avoidedUntilMs) {
      if (untilMs <= now) {
        this.#avoidedUntilMs.delete(host);
      }
    }
  }

  #ask(host: string, upstreams: readonly string[]): Promise<Loads | undefined> {
    const question = this.#nextQuestion++;
    return new Promise((resolve) => {
      let cancelTimer: Cancel = () => undefined;
      const settle = (loads: Loads | undefined): void => {
        cancelTimer();
        this.#waiting.delete(question);
        resolve(loads);
      };
      cancelTimer = this.#clock.setTimer(() => {
        settle(undefined);
      }, ANSWER_TIMEOUT_MS);
      this.#waiting.set(question, settle);
      this.#channel.notify("load.ask", { question, upstreams }, [host]);
    });
  }

  #answer(question: number, upstreams: readonly string[], host: string): void {
    const isWhole = this.#topology.role === RelayRole.Relay && !this.#isLearning;
    const loads = isWhole ? this.#getLoadTracker().getLoads() : new Map<string, UpstreamLoad>();
    this.#channel.notify("load.answer", toLoadAnswer({ question, isWhole, upstreams, loads }), [
      host,
    ]);
  }

  /** True while another relay of the domain, which started before this process, knows more. */
  get #isLearning(): boolean {
    const { incarnation } = this.#getIdentity();
    return (
      this.#clock.now() - this.#startedMs < LEARNING_MS &&
      this.#topology
        .getOtherRelays()
        .some((peer) => peer.incarnation < incarnation - LEARNING_MS && asksForLoads(peer))
    );
  }

  get #isInCharge(): boolean {
    return this.#topology.getRelays().some(({ host }) => host === this.#host);
  }

  /** Peers of this failure domain that hear of every change: other relays, and those that don't ask. */
  #getListeners(): string[] {
    const relays = new Set(getHosts(this.#topology.getOtherRelays()));
    const isListener = (peer: PeerIdentity): boolean =>
      relays.has(peer.host) || !asksForLoads(peer);
    return getHosts(this.#topology.getDomainPeers().filter(isListener));
  }

  #apply({ host, incarnation, seq, ...change }: RelayedChange): void {
    if (host !== this.#host) {
      this.#getLoadTracker().applyPeerChange(getProcessKey(host, incarnation), seq, change);
    }
  }
}

/** True for a process that asks relays for loads, and answers when it is one. */
export const asksForLoads = ({ protocol = 1 }: Pick<PeerIdentity, "protocol">): boolean =>
  protocol >= PROTOCOL_WITH_QUESTIONS;

/** Name under which the load of one process is kept. */
export const getProcessKey = (host: string, incarnation: number): string =>
  `${host}#${String(incarnation)}`;

const getHosts = (peers: readonly PeerIdentity[]): string[] => peers.map(({ host }) => host);
