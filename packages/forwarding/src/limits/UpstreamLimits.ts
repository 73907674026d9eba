import type { Clock } from "@lycheepulley/core";
import type { Logger } from "@lycheepulley/telemetry";

/** What one answer of an upstream says about the requests that it takes. */
export interface LimitReport {
  readonly upstream: string;
  /** Requests a second that the upstream takes from all processes together; undefined for no limit. */
  readonly perSecond: number | undefined;
  /** Monotonic times at which the request went out and the head of its answer arrived. */
  readonly sentMs: number;
  readonly receivedMs: number;
}

/** A report with the process that received the answer; undefined for this one. */
interface KnownReport extends LimitReport {
  readonly peer: string | undefined;
}

/** A limit in force. */
export interface KnownLimit extends KnownReport {
  readonly perSecond: number;
}

/** Reports of peers are kept this much longer on the way than the clocks of two processes tell. */
const MAX_TRANSIT_MS = 500;

const isLimit = (report: KnownReport | undefined): report is KnownLimit =>
  report?.perSecond !== undefined;

/** True when the answer of `one` was certainly sent after that of `other`. */
const isAfter = (one: LimitReport, other: LimitReport): boolean => one.sentMs >= other.receivedMs;

/**
 * Tracks the limits that upstreams name in their answers. An answer without a limit ends one only if
 * it was certainly sent later; when the order is in doubt, the lower limit counts.
 */
export class UpstreamLimits {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #onOwnChange: (report: LimitReport) => void;
  readonly #reports = new Map<string, KnownReport>();
  readonly #liftedMs = new Map<string, number>();

  constructor(options: {
    clock: Clock;
    logger: Logger;
    /** Called when an answer that this process received changed a limit. */
    onOwnChange: (report: LimitReport) => void;
  }) {
    this.#clock = options.clock;
    this.#logger = options.logger;
    this.#onOwnChange = options.onOwnChange;
  }

  /** Limits in force. */
  get all(): readonly KnownLimit[] {
    return [...this.#reports.values()].filter((report) => isLimit(report));
  }

  /** Reports of answers that this process received itself, for its peers. */
  get own(): readonly LimitReport[] {
    return [...this.#reports.values()].filter(({ peer }) => peer === undefined);
  }

  /** The limit in force; undefined for an upstream without one. */
  get(upstream: string): KnownLimit | undefined {
    const report = this.#reports.get(upstream);
    return isLimit(report) ? report : undefined;
  }

  /** The newest report of an upstream that has a limit or had one. */
  getReport(upstream: string): LimitReport | undefined {
    return this.#reports.get(upstream);
  }

  /** Time since an upstream's limit was lifted, milliseconds; undefined while it has one or never had. */
  getLiftedForMs(upstream: string): number | undefined {
    const liftedMs = this.#liftedMs.get(upstream);
    return liftedMs === undefined ? undefined : this.#clock.now() - liftedMs;
  }

  /** Records an answer that this process received. */
  record(report: LimitReport): void {
    if (this.#apply({ ...report, peer: undefined })) {
      this.#onOwnChange(report);
    }
  }

  /** Records an answer that a peer received, and whose times are uncertain by the way here. */
  recordPeer(peer: string, report: LimitReport): void {
    this.#apply({ ...report, sentMs: report.sentMs - MAX_TRANSIT_MS, peer });
  }

  /** Forgets upstreams that are no longer listed. */
  retain(ids: ReadonlySet<string>): void {
    for (const map of [this.#reports, this.#liftedMs]) {
      [...map.keys()].filter((id) => !ids.has(id)).forEach((id) => map.delete(id));
    }
  }

  /** Applies a report unless an older or doubtful one; true when the limit changed. */
  #apply(report: KnownReport): boolean {
    const known = this.#reports.get(report.upstream);
    if (!known && report.perSecond === undefined) {
      return false;
    }
    if (known && !this.#supersedes(report, known)) {
      return false;
    }
    this.#reports.set(report.upstream, report);
    if (known?.perSecond === report.perSecond) {
      return false;
    }
    if (report.perSecond === undefined) {
      this.#liftedMs.set(report.upstream, this.#clock.now());
    } else {
      this.#liftedMs.delete(report.upstream);
    }
    this.#log(report, known?.perSecond);
    return true;
  }

  #supersedes(report: KnownReport, known: KnownReport): boolean {
    if (isAfter(report, known)) {
      return true;
    }
    if (isAfter(known, report)) {
      return false;
    }
    return (report.perSecond ?? Infinity) <= (known.perSecond ?? Infinity);
  }

  #log({ upstream, perSecond, receivedMs, peer }: KnownReport, before: number | undefined): void {
    this.#logger.info(perSecond === undefined ? "upstream limit lifted" : "upstream limit named", {
      ...{ step: "limit", peer: upstream, perSecond, before },
      ...{ from: peer ?? "answer", ageMs: Math.round(this.#clock.now() - receivedMs) },
    });
  }
}
