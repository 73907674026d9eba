import type { Clock } from "@lycheepulley/core";

import { CostSketch } from "./CostSketch.js";

/** An upstream's pace changes within seconds: after its start, or while its VM is busy. */
const HALF_LIFE_MS = 20_000;
/** Weight of the assumption that an upstream is as fast as others, in observations. */
const PRIOR_WEIGHT = 0.5;
/** Smaller differences are taken for chance, so that processes don't all choose one upstream for them. */
const CHANCE = Math.log(1.15);
/** Upstreams have more paces than one: this one from here on, as some slow down when nearly full. */
const FULL_SHARE = 0.75;
const FULL_SUFFIX = "|full";
const MIN_PACE = 0.5;
const MAX_PACE = 4;
/** Paces nearer to 1 aren't worth telling. */
const TOLD_DEVIATION = Math.log(1.2);
const MIN_TOLD_WEIGHT = 0.5;
/** Most observations that a peer's report stands for, and most upstreams that peers may name. */
const MAX_PEER_WEIGHT = 30;
const MAX_PEER_PACES = 1_000;
/** Most paces in one report, which has to fit into a datagram. */
export const MAX_PACE_REPORTS = 40;

/** What one process knows of the pace of an upstream. */
export interface PaceReport {
  readonly upstream: string;
  /** Time that work takes there, as a multiple of the expected time. */
  readonly pace: number;
  /** Observations behind it, each with what is left of its weight. */
  readonly weight: number;
}

interface PeerPace {
  logPace: number;
  weight: number;
  atMs: number;
}

/** Paces of upstreams, as far as this process and its peers have seen them. */
export class UpstreamPaces {
  readonly #clock: Clock;
  readonly #own = new Map<string, CostSketch>();
  readonly #peers = new Map<string, PeerPace>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records that work took `ratio` times the expected time, with this share of slots taken. */
  record(upstream: string, ratio: number, takenShare: number): void {
    const now = this.#clock.now();
    const key = getKey(upstream, takenShare);
    const sketch = this.#own.get(key) ?? new CostSketch(HALF_LIFE_MS, now);
    this.#own.set(key, sketch);
    sketch.record(ratio, now);
  }

  /** Expected time of work there as a multiple of the usual, with this share of slots taken. */
  get(upstream: string, takenShare: number): number {
    const open = this.#blend(upstream, 0);
    const logPace =
      takenShare >= FULL_SHARE ? this.#blend(`${upstream}${FULL_SUFFIX}`, open) : open;
    return Math.abs(logPace) < CHANCE
      ? 1
      : Math.min(MAX_PACE, Math.max(MIN_PACE, Math.exp(logPace)));
  }

  /** Observations behind an upstream's pace, each with what is left of its weight. */
  getWeight(upstream: string): number {
    const now = this.#clock.now();
    const peer = this.#peers.get(upstream);
    const own = this.#own.get(upstream)?.getWeight(now) ?? 0;
    return Math.max(own, peer ? getPeerWeight(peer, now) : 0);
  }

  /** Paces that differ from the usual, the best known first. */
  getReports(): PaceReport[] {
    const keys = new Set([...this.#own.keys(), ...this.#peers.keys()]);
    return [...keys]
      .map((upstream) => this.#newReport(upstream))
      .filter(
        ({ pace, weight }) =>
          Math.abs(Math.log(pace)) > TOLD_DEVIATION && weight >= MIN_TOLD_WEIGHT,
      )
      .sort((a, b) => b.weight - a.weight)
      .slice(0, MAX_PACE_REPORTS);
  }

  /** Merges what a peer knows. Its weight doesn't add up, as the peer may have heard it from this process. */
  recordPeer(reports: readonly PaceReport[]): void {
    const now = this.#clock.now();
    for (const { upstream, pace, weight: toldWeight } of reports.slice(0, MAX_PACE_REPORTS)) {
      const known = this.#peers.get(upstream);
      if (!known && this.#peers.size >= MAX_PEER_PACES) {
        return;
      }
      const weight = Math.min(MAX_PEER_WEIGHT, toldWeight);
      const knownWeight = known ? getPeerWeight(known, now) : 0;
      const sum = knownWeight + weight;
      if (sum > 0 && pace > 0 && Number.isFinite(pace)) {
        const toldLog = Math.log(Math.min(MAX_PACE, Math.max(MIN_PACE, pace)));
        const logPace = ((known?.logPace ?? 0) * knownWeight + toldLog * weight) / sum;
        this.#peers.set(upstream, { logPace, weight: Math.max(knownWeight, weight), atMs: now });
      }
    }
  }

  /** Forgets upstreams that are no longer listed. */
  retain(ids: ReadonlySet<string>): void {
    for (const map of [this.#own, this.#peers]) {
      for (const key of map.keys()) {
        if (!ids.has(getUpstream(key))) {
          map.delete(key);
        }
      }
    }
  }

  #newReport(upstream: string): PaceReport {
    const pace = Math.exp(this.#blend(upstream, 0));
    return { upstream, pace: round(pace), weight: round(this.getWeight(upstream)) };
  }

  /** Logarithm of the pace: that of this process and its peers, drawn to `prior` while little is known. */
  #blend(key: string, prior: number): number {
    const now = this.#clock.now();
    const own = this.#own.get(key);
    const ownWeight = own?.getWeight(now) ?? 0;
    const ownLog = Math.log(own?.getQuantile(0.5) ?? 1);
    const peer = this.#peers.get(key);
    const peerWeight = peer ? getPeerWeight(peer, now) : 0;
    return (
      (ownWeight * ownLog + peerWeight * (peer?.logPace ?? 0) + PRIOR_WEIGHT * prior) /
      (ownWeight + peerWeight + PRIOR_WEIGHT)
    );
  }
}

const getKey = (upstream: string, takenShare: number): string =>
  takenShare >= FULL_SHARE ? `${upstream}${FULL_SUFFIX}` : upstream;

const getUpstream = (key: string): string =>
  key.endsWith(FULL_SUFFIX) ? key.slice(0, -FULL_SUFFIX.length) : key;

const getPeerWeight = ({ weight, atMs }: PeerPace, now: number): number =>
  weight * 2 ** ((atMs - now) / HALF_LIFE_MS);

const round = (value: number): number => Math.round(value * 100) / 100;
