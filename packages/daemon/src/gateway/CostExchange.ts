import type { Cancel, Clock, Random } from "@lycheepulley/core";
import {
  CostBook,
  CostKind,
  MAX_COST_REPORTS,
  MAX_PACE_REPORTS,
  sample,
  type CostSummary,
  type PeerTable,
} from "@lycheepulley/forwarding";
import type { DatagramChannel } from "@lycheepulley/nodes";
import { z } from "zod";

/** Interval at which paces are told again, and at which all of a process's evidence is. */
const PACES_INTERVAL_MS = 2_000;
const SUMMARY_ROUNDS = 5;
/** Peers that evidence is told to each time, so that the cost doesn't grow with the fleet. */
const GOSSIP_PEERS = 2;
/** Every so many rounds the peers are of any failure domain, otherwise of the own one. */
const FAR_ROUNDS = 4;
/** Most quantiles of one distribution. */
const MAX_VALUES = 8;

const amountSchema = z.number().nonnegative();

const summarySchema = z.object({
  costs: z
    .array(
      z.object({
        kind: z.enum(Object.values(CostKind)),
        pool: z.string(),
        route: z.string().optional(),
        weight: amountSchema,
        values: z.array(z.number().positive()).max(MAX_VALUES),
      }),
    )
    .max(MAX_COST_REPORTS),
  paces: z
    .array(z.object({ upstream: z.string(), pace: z.number().positive(), weight: amountSchema }))
    .max(MAX_PACE_REPORTS),
});

type Channel = Pick<DatagramChannel, "handle" | "notify">;
type Peers = Pick<PeerTable, "getLive">;

/** Tells peers what this process has learned of the costs of requests, and hears the same from them. */
export class CostExchange {
  /** Undefined where placement goes by published constants alone. */
  readonly book: CostBook | undefined;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #channel: Channel;
  readonly #peers: Peers;
  readonly #failureDomain: string;
  #cancelTimer: Cancel = () => undefined;
  #round = 0;

  constructor(options: {
    clock: Clock;
    random: Random;
    channel: Channel;
    peers: Peers;
    failureDomain: string;
    /** Requests are placed by what such requests have cost so far. */
    learnsCosts?: boolean | undefined;
  }) {
    this.#clock = options.clock;
    this.#random = options.random;
    this.#channel = options.channel;
    this.#peers = options.peers;
    this.#failureDomain = options.failureDomain;
    this.book = options.learnsCosts === true ? new CostBook(options.clock) : undefined;
  }

  start(): void {
    const costs = this.book;
    if (!costs) {
      return;
    }
    this.#channel.handle("cost.summary", summarySchema, (summary) => {
      costs.recordPeer(summary);
    });
    this.#schedule(costs);
  }

  stop(): void {
    this.#cancelTimer();
  }

  /** Tells a process that has started, or was frozen or cut off, all that this one knows. */
  inform(host: string): void {
    if (this.book) {
      this.#tell(this.book.getSummary(), [host]);
    }
  }

  #schedule(costs: CostBook): void {
    this.#cancelTimer = this.#clock.setTimer(() => {
      this.#gossip(costs);
      this.#schedule(costs);
    }, PACES_INTERVAL_MS);
  }

  #gossip(costs: CostBook): void {
    this.#round += 1;
    const isFar = this.#round % FAR_ROUNDS === 0;
    const hosts = this.#peers
      .getLive()
      .filter(({ failureDomain }) => isFar || failureDomain === this.#failureDomain)
      .map(({ host }) => host);
    const summary = costs.getSummary();
    this.#tell(
      this.#round % SUMMARY_ROUNDS === 0 ? summary : { costs: [], paces: summary.paces },
      sample(hosts, GOSSIP_PEERS, this.#random),
    );
  }

  #tell({ costs, paces }: CostSummary, hosts: readonly string[]): void {
    if (costs.length + paces.length > 0 && hosts.length > 0) {
      this.#channel.notify("cost.summary", { costs, paces }, hosts);
    }
  }
}
