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
  type RpcClient,
  type NodeReport,
  type RpcRegistrar,
} from "@lycheepulley/nodes";
import { Publisher } from "@lycheepulley/streams";

import type { MemberDirectory } from "./MemberDirectory.js";
import { MemberTable, type MemberView } from "./MemberTable.js";

/** Time between two heartbeats to a member of the own failure domain. */
export const HEARTBEAT_INTERVAL_MS = 1_000;
const HEARTBEAT_TIMEOUT_MS = 800;
/**
 * A member is left out of the live list for this long after a failed call, unless it answers a
 * heartbeat.
 */
const FAILURE_AVOID_MS = 3_000;
/** How long the list of live members is cached. */
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
  readonly newClient: (name: string, address: ControlAddress) => RpcClient;
  /** Number of members of the own failure domain that get a heartbeat in each interval. */
  readonly fanout?: number;
}

/** Fields of the own report that can change while the process runs. */
export type ReportChange = Partial<
  Pick<NodeReport, "state" | "configRevision" | "configDigest" | "load">
>;

/**
 * Keeps track of the entry processes and their states. The VM list gives the addresses to contact;
 * gossip in heartbeats spreads reports and the time of each member's last sign of life.
 */
export class Membership implements MemberDirectory {
  readonly self: string;
  readonly #options: MembershipOptions;
  readonly #table: MemberTable;
  readonly #clients = new Map<string, RpcClient>();
  readonly #failedMs = new Map<string, number>();
  readonly #changes = new Publisher<readonly MemberView[]>();
  readonly #abort = new AbortController();
  #listedVms: readonly Vm[] = [];
  #report: NodeReport;
  /**
   * Reports that a process was missing in its last answer, to send with the next heartbeat to it.
   */
  readonly #missingReports = new Map<string, readonly NodeReport[]>();
  #round = 0;
  #publishedStates = "";
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

  /** Calls `fn` with all members whenever a member, its incarnation or its state changes. */
  subscribe(fn: (members: readonly MemberView[]) => void): () => void {
    return this.#changes.subscribe(fn);
  }

  serve(server: RpcRegistrar): void {
    server.handle(heartbeatMethod, (gossip) => this.receive(gossip));
  }

  /** Merges the gossip of a heartbeat and returns the answer. */
  receive(gossip: Gossip): Gossip {
    const now = this.#options.clock.now();
    this.#touchSelf();
    this.#table.applyGossip(gossip, now);
    this.#publishChanges();
    return this.#newGossip(gossip.from[0], gossip);
  }

  start(): void {
    this.#running ??= this.#run();
  }

  async stop(): Promise<void> {
    this.#abort.abort();
    await this.#running;
    await Promise.all([...this.#clients.values()].map((client) => client.close()));
  }

  /** Updates the contacts and the leaving VMs from the platform's VM list. */
  applyList(list: VmList): void {
    this.#listedVms = list.vms.filter((vm) => vm.role === VmRole.Entry && vm.id !== this.self);
    const leaving = list.vms.filter((vm) => vm.state === VmState.Leaving);
    this.#table.setListedLeaving(new Set(leaving.map((vm) => vm.id)));
    this.#publishChanges();
  }

  /**
   * Changes the own report. All changes but that of the load raise its version, so that gossip
   * spreads it.
   */
  update(change: ReportChange): void {
    const raisesVersion = Object.keys(change).some((key) => key !== "load");
    const version = this.#report.version + (raisesVersion ? 1 : 0);
    this.#report = { ...this.#report, ...change, version };
    this.#touchSelf();
    this.#publishChanges();
  }

  /** Sends a heartbeat to every member now, for a change that can't wait for the next interval. */
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
      // Callers compare the list by identity to see whether it has changed.
      const stable = isSame ? (this.#live?.names ?? names) : names;
      this.#live = { untilMs: now + LIVE_CACHE_MS, names: stable };
    }
    return this.#live.names;
  }

  /** Clients for all processes that are known by gossip or listed as VMs. */
  getContactClients(): RpcClient[] {
    return this.#getContacts().map(({ name, address }) => this.#getClientAt(name, address));
  }

  getClient(name: string): RpcClient | undefined {
    const view = this.#table.getView(name, this.#options.clock.now());
    return view ? this.#getClientAt(name, view.report) : undefined;
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

  /**
   * Chooses the next members of the own failure domain in turn; the relay adds a member of another
   * domain.
   */
  #chooseTargets(): { name: string; address: ControlAddress }[] {
    const { fanout = 1, self, random } = this.#options;
    const contacts = this.#getContacts();
    const local = contacts.filter((contact) => contact.failureDomain === self.failureDomain);
    const remote = contacts.filter((contact) => contact.failureDomain !== self.failureDomain);
    const targets = Array.from({ length: Math.min(fanout, local.length) }, (_, i) => {
      return local[(this.#round * fanout + i) % local.length];
    });
    if (this.#isRelay()) {
      const domains = [...new Set(remote.map((contact) => contact.failureDomain))].sort();
      const domain = domains[this.#round % Math.max(1, domains.length)];
      targets.push(
        pickOne(
          random,
          remote.filter((c) => c.failureDomain === domain),
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
    const listed = this.#listedVms
      .filter((vm) => !names.has(vm.id))
      .map(({ id, failureDomain, host, controlPort }) => ({
        name: id,
        failureDomain,
        address: { host, controlPort: controlPort ?? 0 },
      }));
    return [...known, ...listed].sort((a, b) => (a.name < b.name ? -1 : 1));
  }

  /**
   * Tells whether this process exchanges gossip with other domains: the first live member by name
   * does.
   */
  #isRelay(): boolean {
    const { failureDomain } = this.#options.self;
    const local = this.getMembers().filter(
      ({ report, state }) =>
        report.failureDomain === failureDomain &&
        (state === NodeState.Live || report.name === this.self),
    );
    return local.every(({ report }) => report.name >= this.self);
  }

  async #heartbeat(name: string, address: ControlAddress): Promise<void> {
    try {
      const gossip = this.#newGossip(name, undefined);
      const answer = await this.#getClientAt(name, address).call(heartbeatMethod, gossip, {
        timeoutMs: HEARTBEAT_TIMEOUT_MS,
      });
      const now = this.#options.clock.now();
      this.#failedMs.delete(answer.from[0]);
      this.#table.applyGossip(answer, now);
      const domains = [this.#options.self.failureDomain, ...answer.wanted];
      this.#missingReports.set(
        answer.from[0],
        answer.members.length > 0 || answer.wanted.length > 0
          ? this.#table.findMissingReports(answer.members, domains, now)
          : [],
      );
    } catch {
      // A lost heartbeat needs no handling: a member's state follows from its last sign of life.
    }
  }

  #newGossip(to: string, received: Gossip | undefined): Gossip {
    const { clock, self } = this.#options;
    const now = clock.now();
    const domain = self.failureDomain;
    const partnerDomain = this.#table.getView(to, now)?.report.failureDomain;
    // A process that isn't known yet is treated as one of the own domain.
    const isSameDomain = partnerDomain === domain || partnerDomain === undefined;
    const wanted = (received?.wanted ?? []).filter((name) => !isSameDomain || name !== domain);
    const sharedDomains = [...(isSameDomain ? [domain] : []), ...wanted];
    const domains = this.#table.getDomainEntries(isSameDomain ? domain : "", now);
    const missing = received
      ? this.#table.findMissingReports(received.members, sharedDomains, now)
      : (this.#missingReports.get(to) ?? []);
    this.#missingReports.delete(to);
    const isPartnerKnown = partnerDomain !== undefined;
    return {
      from: [this.self, self.incarnation],
      members: [
        ...(isSameDomain ? this.#table.getLocalEntries(now) : []),
        ...wanted.flatMap((domain) => this.#table.getListedEntries(domain, now)),
      ],
      domains,
      reports: received || isPartnerKnown ? [...missing] : [this.#report],
      wanted: this.#table.findStaleDomains(now),
    };
  }

  #getClientAt(name: string, { host, controlPort }: ControlAddress): RpcClient {
    const id = `${host}:${String(controlPort)}`;
    const client = this.#clients.get(id) ?? this.#options.newClient(name, { host, controlPort });
    this.#clients.set(id, client);
    return client;
  }

  #touchSelf(): void {
    this.#table.applyReport(this.#report, this.#options.clock.now());
  }

  #publishChanges(): void {
    this.#live = undefined;
    const members = this.getMembers();
    const key = members
      .map(({ report, state }) => `${report.name}.${String(report.incarnation)}:${state}`)
      .sort()
      .join(" ");
    if (key !== this.#publishedStates) {
      this.#publishedStates = key;
      this.#changes.publish(members);
    }
  }
}
