import { PeerError, SeededRandom, VmRole, VmState, type Vm } from "@lycheepulley/core";
import type { heartbeatMethod } from "@lycheepulley/nodes";
import { NodeState, type Gossip, type RpcClient } from "@lycheepulley/nodes";
import { Membership } from "@lycheepulley/serving";
import { expect } from "chai";

import { MatrixClock, ProcessClock } from "./MatrixClock.js";

const DOMAINS = ["poblado", "laureles", "envigado"];
const CONVERGE_MS = 10_000;
const DETECTION_MS = 10_000;

/** Entry processes that run only membership, with links that can be cut. */
class Cluster {
  readonly clock = new MatrixClock();
  readonly nodes = new Map<
    string,
    { membership: Membership; clock: ProcessClock; domain: string }
  >();
  isCut: (from: string, to: string) => boolean = () => false;
  readonly #seed: number;
  #incarnations = 0;

  constructor(seed: number, perDomain: number) {
    this.#seed = seed;
    for (let i = 0; i < DOMAINS.length * perDomain; i += 1) {
      const domain = DOMAINS[i % DOMAINS.length] ?? "";
      this.startNode(`${domain}-${String(i + 1)}`, domain, 400 + i);
    }
  }

  startNode(name: string, domain: string, controlPort: number): void {
    const clock = new ProcessClock(this.clock);
    this.#incarnations += 1;
    const membership = new Membership({
      clock,
      random: new SeededRandom(this.#seed * 100 + this.#incarnations),
      self: {
        ...{ name, failureDomain: domain, host: "h", port: controlPort - 100, controlPort },
        incarnation: this.clock.wall() + this.#incarnations,
      },
      newClient: (_peer, address) => this.#newClient(name, clock, address.controlPort),
    });
    this.nodes.set(name, { membership, clock, domain });
    this.#publishVmList();
    membership.start();
    membership.update({ state: NodeState.Live });
  }

  kill(name: string): void {
    this.nodes.get(name)?.clock.kill();
    this.nodes.delete(name);
  }

  /** Names of the processes that `name` sees as live, sorted. */
  getLive(name: string): string[] {
    return [...(this.nodes.get(name)?.membership.getLive() ?? [])].sort();
  }

  get names(): string[] {
    return [...this.nodes.keys()].sort();
  }

  #publishVmList(): void {
    const vms = [...this.nodes].map(([id, { membership, domain }]): Vm => ({
      ...{ id, role: VmRole.Entry, pool: "entry", host: "h", port: 1, failureDomain: domain },
      ...{ controlPort: membership.report.controlPort, state: VmState.Live },
    }));
    const list = { version: this.#incarnations, isDelta: false, vms, removed: [] };
    this.nodes.forEach(({ membership }) => {
      membership.applyList(list);
    });
  }

  #newClient(from: string, clock: ProcessClock, controlPort: number): RpcClient {
    const call = (async (method: typeof heartbeatMethod, gossip: Gossip) => {
      const target = [...this.nodes.values()].find(
        ({ membership }) => membership.report.controlPort === controlPort,
      );
      const to = target?.membership.self ?? "";
      await clock.settleWhenRunning(
        new Promise<void>((resolve) => {
          this.clock.setTimer(resolve, 2);
        }),
      );
      if (!target || target.clock.isDead || this.isCut(from, to) || this.isCut(to, from)) {
        throw new PeerError(to, "no route", { sent: true });
      }
      const answer = target.membership.receive(JSON.parse(JSON.stringify(gossip)) as Gossip);
      return method.result.parse(JSON.parse(JSON.stringify(answer)));
    }) as unknown as RpcClient["call"];
    return { name: from, call, close: () => Promise.resolve() };
  }
}

const expectAllSeeLive = (cluster: Cluster, names: readonly string[]): void => {
  for (const name of names) {
    expect(cluster.getLive(name), name).to.deep.equal([...names].sort());
  }
};

describe("Membership", function () {
  this.timeout(60_000);

  const SIZES = [
    { perDomain: 2, seeds: 8 },
    { perDomain: 5, seeds: 2 },
  ];
  for (const { perDomain, seeds } of SIZES) {
    it(`converges with ${String(perDomain)} processes in each of three domains`, async () => {
      for (let seed = 1; seed <= seeds; seed += 1) {
        const cluster = new Cluster(seed, perDomain);
        await cluster.clock.advance(CONVERGE_MS * perDomain);
        expectAllSeeLive(cluster, cluster.names);
      }
    });
  }

  it("drops a dead process everywhere, without suspecting the others", async () => {
    const cluster = new Cluster(3, 2);
    await cluster.clock.advance(2 * CONVERGE_MS);
    cluster.kill("laureles-2");
    await cluster.clock.advance(DETECTION_MS);
    expectAllSeeLive(cluster, cluster.names);
  });

  it("treats a replacement at the old address as a new process", async () => {
    const cluster = new Cluster(4, 2);
    await cluster.clock.advance(2 * CONVERGE_MS);
    cluster.kill("laureles-2");
    cluster.startNode("laureles-7", "laureles", 401);
    await cluster.clock.advance(2 * CONVERGE_MS);
    expectAllSeeLive(cluster, cluster.names);
  });

  it("keeps both ends live when one link is cut", async () => {
    const cluster = new Cluster(5, 3);
    await cluster.clock.advance(2 * CONVERGE_MS);
    cluster.isCut = (from, to) => from === "poblado-1" && to === "poblado-4";
    await cluster.clock.advance(2 * CONVERGE_MS);
    expectAllSeeLive(cluster, cluster.names);
  });

  it("drops a domain that is cut off, on both sides, and recovers", async () => {
    const cluster = new Cluster(6, 2);
    await cluster.clock.advance(2 * CONVERGE_MS);
    const isInCutDomain = (name: string): boolean => name.startsWith("envigado");
    cluster.isCut = (from, to) => isInCutDomain(from) !== isInCutDomain(to);
    await cluster.clock.advance(2 * CONVERGE_MS);
    expectAllSeeLive(cluster, cluster.names.filter(isInCutDomain));
    expectAllSeeLive(
      cluster,
      cluster.names.filter((name) => !isInCutDomain(name)),
    );
    cluster.isCut = () => false;
    await cluster.clock.advance(3 * CONVERGE_MS);
    expectAllSeeLive(cluster, cluster.names);
  });

  it("shows a leaving process as leaving at once after its announcement", async () => {
    const cluster = new Cluster(7, 2);
    await cluster.clock.advance(2 * CONVERGE_MS);
    const leaving = cluster.nodes.get("poblado-1")?.membership;
    leaving?.update({ state: NodeState.Leaving });
    void leaving?.announce();
    await cluster.clock.advance(3_000);
    for (const name of cluster.names.filter((other) => other !== "poblado-1")) {
      expect(cluster.getLive(name), name).to.not.include("poblado-1");
    }
  });
});
