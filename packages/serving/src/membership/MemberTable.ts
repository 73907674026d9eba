import { sha256 } from "@lycheepulley/core";
import {
  NodeState,
  type DigestEntry,
  type DomainEntry,
  type Gossip,
  type NodeReport,
} from "@lycheepulley/nodes";

/** A member of the own failure domain that sent no sign of life for this long is suspect. */
export const SUSPECT_AFTER_MS = 4_000;
/**
 * A member of another failure domain is suspect when neither it nor its domain sent a sign of life
 * for this long.
 */
export const DOMAIN_SUSPECT_AFTER_MS = 6_000;
/** A member that sent no sign of life for this long is gone. */
export const GONE_AFTER_MS = 15_000;
const DIGEST_LENGTH = 10;

/** Last report of a process and the time of its last sign of life. */
interface Member {
  readonly report: NodeReport;
  /** Monotonic time at which the process is last known to have been alive. */
  readonly lastAliveMs: number;
}

/** State of another failure domain, as its own members report it. */
interface DomainState {
  /** Members that the domain last listed as live. */
  readonly names: ReadonlySet<string>;
  /** Monotonic time at which the domain last confirmed this list. */
  readonly confirmedMs: number;
  /**
   * Digest of the newest list of live members that was received, and the monotonic time it is from.
   */
  readonly digest: string;
  readonly digestMs: number;
}

const UNKNOWN_DOMAIN: DomainState = {
  names: new Set(),
  confirmedMs: -Infinity,
  digest: "",
  digestMs: -Infinity,
};

/** A member with its state and the age of its last sign of life, as this process sees them. */
export interface MemberView {
  readonly report: NodeReport;
  readonly state: NodeState;
  readonly ageMs: number;
}

/**
 * Members of the fleet as gossip reports them. Each member of the own failure
 * domain is tracked by itself; another domain is tracked as the set of members
 * that the domain itself lists as live, compared by digest.
 */
export class MemberTable {
  readonly #self: string;
  readonly #domain: string;
  readonly #members = new Map<string, Member>();
  readonly #domains = new Map<string, DomainState>();
  /** VMs that the platform's list marks as leaving. */
  #listedLeaving: ReadonlySet<string> = new Set();

  constructor(options: { self: string; failureDomain: string }) {
    this.#self = options.self;
    this.#domain = options.failureDomain;
  }

  setListedLeaving(names: ReadonlySet<string>): void {
    this.#listedLeaving = names;
  }

  /** Stores a process's own report, unless a newer incarnation or version is known. */
  applyReport(report: NodeReport, lastAliveMs: number): void {
    const known = this.#members.get(report.name);
    if (known && isNewer(known.report, report)) {
      return;
    }
    const latestMs = Math.max(lastAliveMs, known?.lastAliveMs ?? -Infinity);
    this.#members.set(report.name, { report, lastAliveMs: latestMs });
  }

  /** Merges the gossip of a heartbeat. */
  applyGossip(gossip: Gossip, nowMs: number): void {
    for (const report of gossip.reports) {
      this.applyReport(report, -Infinity);
    }
    const [sender, incarnation] = gossip.from;
    this.#applyEntry([sender, incarnation, 0, 0], nowMs);
    for (const entry of gossip.members) {
      this.#applyEntry(entry, nowMs);
    }
    for (const entry of gossip.domains) {
      this.#applyDigest(entry, nowMs);
    }
    this.#applyRemoteEntries(gossip.members);
  }

  getView(name: string, nowMs: number): MemberView | undefined {
    const member = this.#members.get(name);
    if (!member) {
      return undefined;
    }
    const ageMs = nowMs - this.#getLastAliveMs(member);
    return { report: member.report, ageMs, state: this.#getState(member, ageMs) };
  }

  getViews(nowMs: number): MemberView[] {
    return [...this.#members.keys()].flatMap((name) => this.getView(name, nowMs) ?? []);
  }

  /** Removes members whose last sign of life is more than twice the gone time-out ago. */
  evictGone(nowMs: number): void {
    for (const [name, member] of this.#members) {
      if (nowMs - this.#getLastAliveMs(member) > 2 * GONE_AFTER_MS && name !== this.#self) {
        this.#members.delete(name);
      }
    }
  }

  /** Entries of the own domain, for gossip within it. */
  getLocalEntries(nowMs: number): DigestEntry[] {
    return this.getViews(nowMs)
      .filter(({ report, ageMs }) => report.failureDomain === this.#domain && ageMs < GONE_AFTER_MS)
      .map(toEntry);
  }

  /** Entries of a domain's live members; none while this process has a stale list of them. */
  getListedEntries(domain: string, nowMs: number): DigestEntry[] {
    const isFresh = domain === this.#domain || !this.#isStale(domain, nowMs);
    return isFresh ? this.#getListed(domain, nowMs).map(toEntry) : [];
  }

  /** Newest digests of all known domains except `except`, with their ages. */
  getDomainEntries(except: string, nowMs: number): DomainEntry[] {
    const own: DomainEntry[] =
      except === this.#domain ? [] : [[this.#domain, this.getDomainDigest(this.#domain, nowMs), 0]];
    const foreign = [...this.#domains]
      .filter(([domain]) => domain !== except)
      .map(([domain, { digest, digestMs }]): DomainEntry => [
        domain,
        digest,
        Math.max(0, Math.round(nowMs - digestMs)),
      ]);
    return [...own, ...foreign];
  }

  /**
   * Domains whose list of live members is stale: the newest digest differs from that of the known
   * list.
   */
  findStaleDomains(nowMs: number): string[] {
    return [...this.#domains.keys()].filter((domain) => this.#isStale(domain, nowMs));
  }

  /** Reports of members of these domains that are missing or older in `entries`. */
  findMissingReports(
    entries: readonly DigestEntry[],
    domains: readonly string[],
    nowMs: number,
  ): NodeReport[] {
    const known = new Map(entries.map((entry) => [entry[0], entry]));
    return this.getViews(nowMs)
      .filter(
        ({ report, ageMs }) => domains.includes(report.failureDomain) && ageMs < GONE_AFTER_MS,
      )
      .map(({ report }) => report)
      .filter((report) => {
        const entry = known.get(report.name);
        return !entry || isNewer(report, { incarnation: entry[1], version: entry[2] });
      });
  }

  /** Digest of a domain's live members, by the reports received here. */
  getDomainDigest(domain: string, nowMs: number): string {
    return digestEntries(this.#getListed(domain, nowMs).map(toEntry));
  }

  #isStale(domain: string, nowMs: number): boolean {
    return this.#domains.get(domain)?.digest !== this.getDomainDigest(domain, nowMs);
  }

  #getListed(domain: string, nowMs: number): MemberView[] {
    const names = domain === this.#domain ? undefined : this.#domains.get(domain)?.names;
    return this.getViews(nowMs).filter(({ report, ageMs }) =>
      names ? names.has(report.name) : report.failureDomain === domain && ageMs < SUSPECT_AFTER_MS,
    );
  }

  /** Stores a domain's digest if it is newer; a known list that matches it is confirmed again. */
  #applyDigest([domain, digest, ageMs]: DomainEntry, nowMs: number): void {
    const known = this.#domains.get(domain) ?? UNKNOWN_DOMAIN;
    const digestMs = nowMs - ageMs;
    if (domain === this.#domain || digestMs <= known.digestMs) {
      return;
    }
    this.#domains.set(domain, { ...known, digest, digestMs });
    if (this.getDomainDigest(domain, nowMs) === digest) {
      this.#domains.set(domain, { ...known, digest, digestMs, confirmedMs: digestMs });
    }
  }

  #applyEntry([name, incarnation, version, ageMs]: DigestEntry, nowMs: number): void {
    const known = this.#members.get(name);
    const isSame = known?.report.incarnation === incarnation && known.report.version >= version;
    if (known && isSame) {
      const lastAliveMs = Math.max(known.lastAliveMs, nowMs - ageMs);
      this.#members.set(name, { ...known, lastAliveMs });
    }
  }

  /** Replaces the list of a domain's live members by entries that match its newest digest. */
  #applyRemoteEntries(entries: readonly DigestEntry[]): void {
    const byDomain = new Map<string, DigestEntry[]>();
    for (const entry of entries) {
      const domain = this.#members.get(entry[0])?.report.failureDomain;
      if (domain !== undefined && domain !== this.#domain) {
        byDomain.set(domain, [...(byDomain.get(domain) ?? []), entry]);
      }
    }
    for (const [domain, listed] of byDomain) {
      const known = this.#domains.get(domain) ?? UNKNOWN_DOMAIN;
      if (digestEntries(listed) === known.digest) {
        const names = new Set(listed.map(([name]) => name));
        this.#domains.set(domain, { ...known, names, confirmedMs: known.digestMs });
      }
    }
  }

  /**
   * Time of the member's last sign of life, or of the last confirmation by its domain if that is
   * later.
   */
  #getLastAliveMs({ report, lastAliveMs }: Member): number {
    const domain = this.#domains.get(report.failureDomain);
    return domain?.names.has(report.name) ? Math.max(lastAliveMs, domain.confirmedMs) : lastAliveMs;
  }

  #getState({ report }: Member, ageMs: number): NodeState {
    if (ageMs > GONE_AFTER_MS) {
      return NodeState.Gone;
    }
    if (report.state === NodeState.Leaving || this.#listedLeaving.has(report.name)) {
      return NodeState.Leaving;
    }
    return this.#isSuspect(report, ageMs) ? NodeState.Suspect : report.state;
  }

  /** True for a member without a sign of life for too long, or no longer listed by its domain. */
  #isSuspect({ name, failureDomain }: NodeReport, ageMs: number): boolean {
    if (failureDomain === this.#domain) {
      return ageMs > SUSPECT_AFTER_MS;
    }
    const isListed = this.#domains.get(failureDomain)?.names.has(name) ?? true;
    return !isListed || ageMs > DOMAIN_SUSPECT_AFTER_MS;
  }
}

const toEntry = ({ report, ageMs }: MemberView): DigestEntry => [
  report.name,
  report.incarnation,
  report.version,
  Math.max(0, Math.round(ageMs)),
];

const digestEntries = (entries: readonly DigestEntry[]): string => {
  const lines = entries.map(
    ([name, incarnation, version]) => `${name} ${String(incarnation)} ${String(version)}`,
  );
  return sha256(lines.sort().join("\n")).slice(0, DIGEST_LENGTH);
};

type ReportVersion = Pick<NodeReport, "incarnation" | "version">;

/** Tells whether `a` supersedes `b`. */
const isNewer = (a: ReportVersion, b: ReportVersion): boolean =>
  a.incarnation > b.incarnation || (a.incarnation === b.incarnation && a.version > b.version);
