import {
  nextInt,
  pickOne,
  sleep,
  VmRole,
  VmState,
  type Clock,
  type Random,
  type Vm,
  type VmList,
} from "@lycheepulley/core";
import {
  heartbeatMethod,
  NodeState,
  type Gossip,
  type NodeCaller,
  type NodeReport,
  type RpcRegistrar,
} from "@lycheepulley/nodes";
import { Publisher } from "@lycheepulley/streams";

import type { MemberDirectory } from "./MemberDirectory.js";
import { MemberTable, type MemberView } from "./MemberTable.js";

/** Time between two heartbeats to a member of the own failure domain. */
export const HEARTBEAT_INTERVAL_MS = 1_000;
const HEARTBEAT_TIMEOUT_MS = 800;
/** A member whose call failed is passed over for this long unless heard of again. */
const FAILURE_AVOID_MS = 3_000;

/** How long the list of live members is used before it is worked out again. */
const LIVE_CACHE_MS = 50;

/** Address of a process's control port. */
export interface ControlAddress {
  readonly host: string;
  readonly controlPort: number;
}

export interface MembershipOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly self: Pick<
    NodeReport,
    "name" | "incarnation" | "failureDomain" | "host" | "port" | "controlPort"
  >;
  readonly newCaller: (name: string, address: ControlAddress) => NodeCaller;
  /** Heartbeats to the own failure domain in one interval. */
  readonly fanout?: number;
}

/** Fields of the own report that change while the process runs. */
export type ReportChange = Partial<
  Pick<NodeReport, "state" | "configRevision" | "configDigest" | "load">
>;

/** Knows which entry processes are at work, from the VM list and heartbeats. */
export class Membership implements MemberDirectory {
  readonly self: string;
  readonly #options: MembershipOptions;
  readonly #table: MemberTable;
  readonly #callers = new Map<string, NodeCaller>();
  readonly #failedMs = new Map<string, number>();
  readonly #changes = new Publisher<readonly MemberView[]>();
  readonly #abort = new AbortController();
  #contacts: readonly Vm[] = [];
  #report: NodeReport;
  /** Reports that another process lacked when it last answered. */
  readonly #lacking = new Map<string, readonly NodeReport[]>();
  #round = 0;
  #liveKey = "";
  #live: { readonly untilMs: number; readonly names: readonly string[] } | undefined;
  #running: Promise<void> | undefined;

  constructor(options: MembershipOptions) {
    this.#options = options;
    this.self = options.self.name;
    this.#report = {
      ...options.self,
      state: NodeState.Joining,
      version: 1,
      configRevision: 0,
      configDigest: "",
      load: 0,
    };
    this.#table = new MemberTable({
      self: this.self,
      failureDomain: options.self.failureDomain,
    });
    this.#touchSelf();
  }

  get report(): NodeReport {
    return this.#report;
  }

  /** Calls `fn` with the members whenever the live ones change. */
  subscribe(fn: (members: readonly MemberView[]) => void): () => void {
    return this.#changes.subscribe(fn);
  }

  serve(server: RpcRegistrar): void {
    server.handle(heartbeatMethod, (gossip) => this.receive(gossip));
  }

  /** Takes a heartbeat and answers it. */
  receive(gossip: Gossip): Gossip {
    const now = this.#options.clock.now();
    this.#touchSelf();
    this.#table.mutateWithGossip(gossip, now);
    this.#publishChanges();
    return this.#newGossip(gossip.from[0], gossip);
  }

  start(): void {
    this.#running ??= this.#run();
  }

  async stop(): Promise<void> {
    this.#abort.abort();
    await this.#running;
    await Promise.all([...this.#callers.values()].map((caller) => caller.close()));
  }

  /** Takes the entry VMs of the platform's list as contacts. */
  mutateWithList(list: VmList): void {
    this.#contacts = list.vms.filter((vm) => vm.role === VmRole.Entry && vm.id !== this.self);
    const leaving = list.vms.filter((vm) => vm.state === VmState.Leaving);
    this.#table.setListedLeaving(new Set(leaving.map((vm) => vm.id)));
    this.#publishChanges();
  }

  /** Changes the own report, which heartbeats spread. */
  update(change: ReportChange): void {
    const isLasting = Object.keys(change).some((key) => key !== "load");
    const version = this.#report.version + (isLasting ? 1 : 0);
    this.#report = { ...this.#report, ...change, version };
    this.#touchSelf();
    this.#publishChanges();
  }

  /** Tells every member at once of a change that can't wait for the next heartbeat. */
  async announce(): Promise<void> {
    const now = this.#options.clock.now();
    const others = this.#table.getViews(now).filter(({ report }) => report.name !== this.self);
    await Promise.all(others.map(({ report }) => this.#heartbeat(report.name, report)));
  }

  getMembers(): MemberView[] {
    return this.#table.getViews(this.#options.clock.now());
  }

  getLive(): readonly string[] {
    const now = this.#options.clock.now();
    if (!this.#live || this.#live.untilMs <= now) {
      const names = this.getMembers()
        .filter(({ report, state }) => state === NodeState.Live && !this.#isAvoided(report.name))
        .map(({ report }) => report.name);
      const isSame = this.#live?.names.join() === names.join();
      // The same list object tells users that nothing has changed.
      const kept = isSame ? (this.#live?.names ?? names) : names;
      this.#live = { untilMs: now + LIVE_CACHE_MS, names: kept };
    }
    return this.#live.names;
  }

  /** Ways to call every process that is known or listed. */
  getContactCallers(): NodeCaller[] {
    return this.#getContacts().map(({ name, address }) => this.#getCallerAt(name, address));
  }

  getCaller(name: string): NodeCaller | undefined {
    const view = this.#table.getView(name, this.#options.clock.now());
    return view ? this.#getCallerAt(name, view.report) : undefined;
  }

  noteFailure(name: string): void {
    this.#live = undefined;
    this.#failedMs.set(name, this.#options.clock.now());
  }

  #isAvoided(name: string): boolean {
    const failedMs = this.#failedMs.get(name);
    return failedMs !== undefined && this.#options.clock.now() - failedMs < FAILURE_AVOID_MS;
  }

  async #run(): Promise<void> {
    const { clock, random } = this.#options;
    while (!this.#abort.signal.aborted) {
      this.#touchSelf();
      const targets = this.#chooseTargets();
      await Promise.all(targets.map(({ name, address }) => this.#heartbeat(name, address)));
      this.#table.evictGone(clock.now());
      this.#publishChanges();
      const jitterMs = nextInt(random, HEARTBEAT_INTERVAL_MS / 5);
      await sleep(clock, HEARTBEAT_INTERVAL_MS - jitterMs, this.#abort.signal);
    }
  }

  /** Next members of the own domain in turn; the domain's relay also reaches another domain. */
  #chooseTargets(): { name: string; address: ControlAddress }[] {
    const { fanout = 1, self, random } = this.#options;
    const contacts = this.#getContacts();
    const near = contacts.filter((contact) => contact.failureDomain === self.failureDomain);
    const far = contacts.filter((contact) => contact.failureDomain !== self.failureDomain);
    const targets = Array.from({ length: Math.min(fanout, near.length) }, (_, i) => {
      return near[(this.#round * fanout + i) % near.length];
    });
    if (this.#isRelay()) {
      const domains = [...new Set(far.map((contact) => contact.failureDomain))].sort();
      const domain = domains[this.#round % Math.max(1, domains.length)];
      targets.push(
        pickOne(
          random,
          far.filter((c) => c.failureDomain === domain),
        ),
      );
    }
    this.#round += 1;
    return targets.filter((target) => target !== undefined);
  }

  #getContacts(): { name: string; failureDomain: string; address: ControlAddress }[] {
    const known = this.getMembers()
      .filter(({ report, state }) => report.name !== this.self && state !== NodeState.Gone)
      .map(({ report }) => ({
        name: report.name,
        failureDomain: report.failureDomain,
        address: report,
      }));
    const names = new Set(known.map(({ name }) => name));
    const listed = this.#contacts
      .filter((vm) => !names.has(vm.id))
      .map(({ id, failureDomain, host, controlPort }) => ({
        name: id,
        failureDomain,
        address: { host, controlPort: controlPort ?? 0 },
      }));
    return [...known, ...listed].sort((a, b) => (a.name < b.name ? -1 : 1));
  }

  /** The live member of a domain that is first by name speaks to other domains. */
  #isRelay(): boolean {
    const { failureDomain } = this.#options.self;
    const near = this.getMembers().filter(
      ({ report, state }) =>
        report.failureDomain === failureDomain &&
        (state === NodeState.Live || report.name === this.self),
    );
    return near.every(({ report }) => report.name >= this.self);
  }

  async #heartbeat(name: string, address: ControlAddress): Promise<void> {
    try {
      const gossip = this.#newGossip(name, undefined);
      const answer = await this.#getCallerAt(name, address).call(heartbeatMethod, gossip, {
        timeoutMs: HEARTBEAT_TIMEOUT_MS,
      });
      const now = this.#options.clock.now();
      this.#failedMs.delete(answer.from[0]);
      this.#table.mutateWithGossip(answer, now);
      const domains = [this.#options.self.failureDomain, ...answer.wanted];
      this.#lacking.set(
        answer.from[0],
        answer.members.length > 0 || answer.wanted.length > 0
          ? this.#table.findMissingReports(answer.members, domains, now)
          : [],
      );
    } catch {
      // Silence is judged by its length.
    }
  }

  #newGossip(to: string, asked: Gossip | undefined): Gossip {
    const { clock, self } = this.#options;
    const now = clock.now();
    const domain = self.failureDomain;
    const partner = this.#table.getView(to, now)?.report.failureDomain;
    const isNear = partner === domain || partner === undefined;
    const wanted = (asked?.wanted ?? []).filter((name) => !isNear || name !== domain);
    const told = [...(isNear ? [domain] : []), ...wanted];
    const domains = this.#table.getDomainEntries(isNear ? domain : "", now);
    const lacking = asked
      ? this.#table.findMissingReports(asked.members, told, now)
      : (this.#lacking.get(to) ?? []);
    this.#lacking.delete(to);
    const isKnownHere = partner !== undefined;
    return {
      from: [this.self, self.incarnation],
      members: [
        ...(isNear ? this.#table.getLocalEntries(now) : []),
        ...wanted.flatMap((domain) => this.#table.getListedEntries(domain, now)),
      ],
      domains,
      reports: asked || isKnownHere ? [...lacking] : [this.#report],
      wanted: this.#table.findStaleDomains(now),
    };
  }

  #getCallerAt(name: string, { host, controlPort }: ControlAddress): NodeCaller {
    const id = `${host}:${String(controlPort)}`;
    const caller = this.#callers.get(id) ?? this.#options.newCaller(name, { host, controlPort });
    this.#callers.set(id, caller);
    return caller;
  }

  #touchSelf(): void {
    this.#table.mutateWithReport(this.#report, this.#options.clock.now());
  }

  #publishChanges(): void {
    this.#live = undefined;
    const members = this.getMembers();
    const key = members
      .map(({ report, state }) => `${report.name}.${String(report.incarnation)}:${state}`)
      .sort()
      .join(" ");
    if (key !== this.#liveKey) {
      this.#liveKey = key;
      this.#changes.publish(members);
    }
  }
}
