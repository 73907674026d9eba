import { sha256 } from "@lycheepulley/core";
import {
  NodeState,
  type DigestEntry,
  type DomainEntry,
  type Gossip,
  type NodeReport,
} from "@lycheepulley/nodes";

/** A member without news for this long is suspect. */
export const SUSPECT_AFTER_MS = 4_000;
/** A domain without news for this long is cut off, and its members are suspect. */
export const DOMAIN_SUSPECT_AFTER_MS = 6_000;
/** A member without news for this long is gone. */
export const GONE_AFTER_MS = 15_000;
const DIGEST_LENGTH = 10;

/** What this process knows of another one. */
interface Member {
  readonly report: NodeReport;
  /** Monotonic time of the newest sign of life. */
  readonly heardMs: number;
}

/** What this process knows of another failure domain. */
interface DomainNews {
  /** Members for which the domain vouched last. */
  readonly names: ReadonlySet<string>;
  /** Monotonic time for which the domain vouched for them. */
  readonly freshMs: number;
  /** Newest digest that was heard of, and the time it is from. */
  readonly digest: string;
  readonly digestMs: number;
}

const NO_NEWS: DomainNews = {
  names: new Set(),
  freshMs: -Infinity,
  digest: "",
  digestMs: -Infinity,
};

/** A member with its state as seen from here. */
export interface MemberView {
  readonly report: NodeReport;
  readonly state: NodeState;
  readonly ageMs: number;
}

/**
 * Members of the system. Those of the own failure domain are known one by
 * one, with the age of their last sign of life; another domain is known as a
 * set that its own members vouch for.
 */
export class MemberTable {
  readonly #self: string;
  readonly #domain: string;
  readonly #members = new Map<string, Member>();
  readonly #domains = new Map<string, DomainNews>();
  /** VMs that the platform's list says are leaving. */
  #listedLeaving: ReadonlySet<string> = new Set();

  constructor(options: { self: string; failureDomain: string }) {
    this.#self = options.self;
    this.#domain = options.failureDomain;
  }

  setListedLeaving(names: ReadonlySet<string>): void {
    this.#listedLeaving = names;
  }

  /** Takes a process's own report; an older incarnation or version changes nothing. */
  mutateWithReport(report: NodeReport, heardMs: number): void {
    const known = this.#members.get(report.name);
    if (known && isNewer(known.report, report)) {
      return;
    }
    const heard = Math.max(heardMs, known?.heardMs ?? -Infinity);
    this.#members.set(report.name, { report, heardMs: heard });
  }

  /** Takes the news of a heartbeat. */
  mutateWithGossip(gossip: Gossip, nowMs: number): void {
    for (const report of gossip.reports) {
      this.mutateWithReport(report, -Infinity);
    }
    const [sender, incarnation] = gossip.from;
    this.#mutateWithEntry([sender, incarnation, 0, 0], nowMs);
    for (const entry of gossip.members) {
      this.#mutateWithEntry(entry, nowMs);
    }
    for (const entry of gossip.domains) {
      this.#mutateWithDigest(entry, nowMs);
    }
    this.#mutateWithForeignSets(gossip.members);
  }

  getView(name: string, nowMs: number): MemberView | undefined {
    const member = this.#members.get(name);
    if (!member) {
      return undefined;
    }
    const ageMs = nowMs - this.#getHeardMs(member);
    return { report: member.report, ageMs, state: this.#getState(member, ageMs) };
  }

  getViews(nowMs: number): MemberView[] {
    return [...this.#members.keys()].flatMap((name) => this.getView(name, nowMs) ?? []);
  }

  /** Forgets members that have been gone for long. */
  evictGone(nowMs: number): void {
    for (const [name, member] of this.#members) {
      if (nowMs - this.#getHeardMs(member) > 2 * GONE_AFTER_MS && name !== this.#self) {
        this.#members.delete(name);
      }
    }
  }

  /** Entries of the own domain, as told to one of its members. */
  getLocalEntries(nowMs: number): DigestEntry[] {
    return this.getViews(nowMs)
      .filter(({ report, ageMs }) => report.failureDomain === this.#domain && ageMs < GONE_AFTER_MS)
      .map(toEntry);
  }

  /** Entries of a domain for which this process can vouch; none while its news is old. */
  getListedEntries(domain: string, nowMs: number): DigestEntry[] {
    const isCurrent = domain === this.#domain || !this.#isWanted(domain, nowMs);
    return isCurrent ? this.#getVouched(domain, nowMs).map(toEntry) : [];
  }

  /** Newest digests of all known domains but `except`. */
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

  /** Domains of which a newer digest was heard than that of the members known. */
  findStaleDomains(nowMs: number): string[] {
    return [...this.#domains.keys()].filter((domain) => this.#isWanted(domain, nowMs));
  }

  /** Reports that a process with these entries lacks, among the named domains. */
  findMissingReports(
    entries: readonly DigestEntry[],
    domains: readonly string[],
    nowMs: number,
  ): NodeReport[] {
    const told = new Map(entries.map((entry) => [entry[0], entry]));
    return this.getViews(nowMs)
      .filter(
        ({ report, ageMs }) => domains.includes(report.failureDomain) && ageMs < GONE_AFTER_MS,
      )
      .map(({ report }) => report)
      .filter((report) => {
        const entry = told.get(report.name);
        return !entry || isNewer(report, { incarnation: entry[1], version: entry[2] });
      });
  }

  /** Digest of the members for which a domain vouches, as far as this process knows. */
  getDomainDigest(domain: string, nowMs: number): string {
    return digestEntries(this.#getVouched(domain, nowMs).map(toEntry));
  }

  #isWanted(domain: string, nowMs: number): boolean {
    return this.#domains.get(domain)?.digest !== this.getDomainDigest(domain, nowMs);
  }

  #getVouched(domain: string, nowMs: number): MemberView[] {
    const names = domain === this.#domain ? undefined : this.#domains.get(domain)?.names;
    return this.getViews(nowMs).filter(({ report, ageMs }) =>
      names ? names.has(report.name) : report.failureDomain === domain && ageMs < SUSPECT_AFTER_MS,
    );
  }

  /** Takes a domain's digest if it is newer; members that match it are vouched for anew. */
  #mutateWithDigest([domain, digest, ageMs]: DomainEntry, nowMs: number): void {
    const known = this.#domains.get(domain) ?? NO_NEWS;
    const digestMs = nowMs - ageMs;
    if (domain === this.#domain || digestMs <= known.digestMs) {
      return;
    }
    this.#domains.set(domain, { ...known, digest, digestMs });
    if (this.getDomainDigest(domain, nowMs) === digest) {
      this.#domains.set(domain, { ...known, digest, digestMs, freshMs: digestMs });
    }
  }

  #mutateWithEntry([name, incarnation, version, ageMs]: DigestEntry, nowMs: number): void {
    const known = this.#members.get(name);
    const isSame = known?.report.incarnation === incarnation && known.report.version >= version;
    if (known && isSame) {
      const heardMs = Math.max(known.heardMs, nowMs - ageMs);
      this.#members.set(name, { ...known, heardMs });
    }
  }

  /** Entries of another domain that match its newest digest replace its known members. */
  #mutateWithForeignSets(entries: readonly DigestEntry[]): void {
    const byDomain = new Map<string, DigestEntry[]>();
    for (const entry of entries) {
      const domain = this.#members.get(entry[0])?.report.failureDomain;
      if (domain !== undefined && domain !== this.#domain) {
        byDomain.set(domain, [...(byDomain.get(domain) ?? []), entry]);
      }
    }
    for (const [domain, told] of byDomain) {
      const known = this.#domains.get(domain) ?? NO_NEWS;
      if (digestEntries(told) === known.digest) {
        const names = new Set(told.map(([name]) => name));
        this.#domains.set(domain, { ...known, names, freshMs: known.digestMs });
      }
    }
  }

  /** Newest sign of life: the member's own, or its domain's word for it. */
  #getHeardMs({ report, heardMs }: Member): number {
    const news = this.#domains.get(report.failureDomain);
    return news?.names.has(report.name) ? Math.max(heardMs, news.freshMs) : heardMs;
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

  /** Without news for too long, or no longer among those for whom its domain vouches. */
  #isSuspect({ name, failureDomain }: NodeReport, ageMs: number): boolean {
    if (failureDomain === this.#domain) {
      return ageMs > SUSPECT_AFTER_MS;
    }
    const isVouched = this.#domains.get(failureDomain)?.names.has(name) ?? true;
    return !isVouched || ageMs > DOMAIN_SUSPECT_AFTER_MS;
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

type Vintage = Pick<NodeReport, "incarnation" | "version">;

/** Tells whether `a` supersedes `b`. */
const isNewer = (a: Vintage, b: Vintage): boolean =>
  a.incarnation > b.incarnation || (a.incarnation === b.incarnation && a.version > b.version);
