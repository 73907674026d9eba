import { expect } from "chai";
import { SeededRandom } from "@lycheepulley/core";

import { FleetView } from "./FleetView.js";
import { ListOutageGuard } from "./ListOutageGuard.js";
import { sumLoads } from "./load.js";
import { LoadTracker, type LoadChange } from "./LoadTracker.js";
import { PeerTable, type PeerIdentity, type PeerState } from "./PeerTable.js";
import { sample } from "./sample.js";
import { ManualClock } from "./testing/ManualClock.js";
import { newConfig, newItem, newUpstream } from "./testing/samples.js";

describe("FleetView", () => {
  const NONE: ReadonlySet<string> = new Set();

  it("never goes back to an older configuration", () => {
    const view = new FleetView();
    const applied = [3, 2, 3, 7, 5].map((revision) => view.applyConfig(newConfig({ revision })));
    expect(applied).to.deep.equal([true, false, false, true, false]);
    expect(view.revision).to.equal(7);
  });

  it("never goes back to an older list of upstreams", () => {
    const view = new FleetView();
    const [a, b] = [newUpstream("a"), newUpstream("b")];
    view.applyUpstreams({ version: 5, upstreams: [a] }, 0, NONE);
    const change = view.applyUpstreams({ version: 4, upstreams: [a, b] }, 0, NONE);
    expect(change).to.deep.equal({ joined: [], left: [] });
    expect(view.getAvailable("p").map(({ id }) => id)).to.deep.equal(["a"]);
  });

  it("sends no new requests to an upstream that drains or is gone", () => {
    const view = new FleetView();
    const [a, b, c] = ["a", "b", "c"].map((id) => newUpstream(id));
    view.applyUpstreams(
      { version: 1, upstreams: [a, b, c].filter((u) => u !== undefined) },
      0,
      NONE,
    );
    const leaving = newUpstream("a", { isLeaving: true });
    const change = view.applyUpstreams(
      { version: 2, upstreams: [leaving, newUpstream("c")] },
      0,
      NONE,
    );
    expect(change.left).to.deep.equal(["a", "b"]);
    expect(view.getAvailable("p").map(({ id }) => id)).to.deep.equal(["c"]);
  });
});

describe("FleetView and lists that peers confirm", () => {
  const [a, b] = [newUpstream("a"), newUpstream("b")];
  const apply = (view: FleetView, version: number, upstreams = [a, b]): void => {
    view.applyUpstreams({ version, upstreams }, 0, new Set());
  };

  it("has the same digest for the same entries, whatever the version and order", () => {
    const [one, other] = [new FleetView(), new FleetView()];
    apply(one, 5);
    apply(other, 9, [b, a]);
    expect(one.listDigest).to.equal(other.listDigest);
    apply(other, 10, [a, newUpstream("b", { isLeaving: true })]);
    expect(one.listDigest).to.not.equal(other.listDigest);
  });

  it("doesn't go back to a list older than the confirmed one", () => {
    const view = new FleetView();
    apply(view, 5);
    view.confirmList({ version: 9 }, 100);
    apply(view, 7, [a]);
    expect(view.upstreams.size).to.equal(2);
    expect(view).to.include({ listedMs: 100 });
  });

  it("tells whether upstreams are retained that the list lacks", () => {
    const view = new FleetView();
    apply(view, 5);
    view.applyUpstreams({ version: 6, upstreams: [a] }, 0, new Set(["b"]));
    expect(view.isProvisional).to.equal(true);
    apply(view, 6, [a]);
    expect(view.isProvisional).to.equal(false);
  });
});

describe("ListOutageGuard", () => {
  const cases: readonly [name: string, outageMs: number, afterMs: number, isRetained: boolean][] = [
    ["right after a long outage", 4_000, 100, true],
    ["once the upstreams had time to register again", 4_000, 2_100, false],
    ["after an outage too short for an entry to expire", 2_000, 100, false],
  ];
  for (const [name, outageMs, afterMs, isRetained] of cases) {
    it(`${isRetained ? "retains" : "drops"} entries that a list lacks ${name}`, async () => {
      const clock = new ManualClock();
      const guard = new ListOutageGuard({ clock, upstreamBeatMs: 1_200 });
      guard.onList(clock.now());
      await clock.advance(outageMs);
      guard.onList(clock.now());
      await clock.advance(afterMs);
      guard.onList(clock.now());
      expect(guard.getRetained(["a"]).has("a")).to.equal(isRetained);
    });
  }

  it("measures the outage by the times of lists that peers report", async () => {
    const clock = new ManualClock();
    const guard = new ListOutageGuard({ clock, upstreamBeatMs: 1_200 });
    guard.onList(0);
    await clock.advance(4_000);
    guard.onList(1_500);
    expect(guard.getRetained(["a"]).size).to.equal(0);
    guard.onList(4_000);
    expect(guard.getRetained(["a"]).size).to.equal(1);
  });
});

describe("sumLoads", () => {
  it("counts decoding answers, parts of prompts and reserved memory", () => {
    const loads = sumLoads(
      [
        { ...newItem("w", { upstream: "a", kvTokens: 6_000 }), sinceMs: 0 },
        {
          ...newItem("r", {
            ...{ phase: "reading", upstream: "a", helpers: ["b", "c"], readMs: 100 },
            ...{ kvTokens: 50_000, heldTokens: [90_000, 0], maxGapMs: 1_000 },
          }),
          sinceMs: 0,
        },
      ],
      40,
    );
    expect([...loads.keys()]).to.have.members(["a", "b", "c"]);
    const [a, b] = [loads.get("a"), loads.get("b")];
    expect(a).to.include({ inFlight: 2, helping: 0, pendingReadMs: 60, kvTokens: 56_000 });
    expect(a?.minGapMs).to.equal(250);
    expect(b).to.include({ inFlight: 0, helping: 1, pendingReadMs: 60, kvTokens: 90_000 });
  });

  it("queues the prefill of prompts one behind the other", () => {
    const reading = { phase: "reading", upstream: "a", readMs: 100 } as const;
    const loads = sumLoads(
      [
        { ...newItem("1", reading), sinceMs: 0 },
        { ...newItem("2", reading), sinceMs: 20 },
        { ...newItem("3", reading), sinceMs: 500 },
      ],
      510,
    );
    expect(loads.get("a")?.pendingReadMs).to.equal(90);
  });
});

describe("LoadTracker", () => {
  const newTracker = (): { clock: ManualClock; tracker: LoadTracker } => {
    const clock = new ManualClock();
    return { clock, tracker: new LoadTracker({ clock, onOwnChange: () => undefined }) };
  };

  it("drops a peer's message that is older than one already seen", () => {
    const { tracker } = newTracker();
    tracker.applyPeerChange("n", 2, { changed: [], writing: [], ended: ["1"] });
    tracker.applyPeerChange("n", 1, { changed: [newItem("1")], writing: [], ended: [] });
    expect(tracker.getLoads().size).to.equal(0);
  });

  it("reports the first event of a request to peers once, and only by its id", () => {
    const changes: LoadChange[] = [];
    const clock = new ManualClock();
    const sender = new LoadTracker({ clock, onOwnChange: (change) => changes.push(change) });
    const receiver = new LoadTracker({ clock, onOwnChange: () => undefined });
    sender.setOwn(newItem("1", { phase: "reading", readMs: 100 }));
    sender.startWriting("1");
    sender.startWriting("1");
    sender.startWriting("unknown");
    changes.forEach((change, seq) => {
      receiver.applyPeerChange("n", seq, change);
    });
    expect(changes.slice(1)).to.deep.equal([{ changed: [], writing: ["1"], ended: [] }]);
    expect(receiver.getLoads().get("u0")).to.include({ pendingReadMs: 0, inFlight: 1 });
    expect(receiver.getLoads().get("u0")?.decodes.length).to.equal(1);
  });

  it("repairs a lost message with the next snapshot", () => {
    const { tracker } = newTracker();
    tracker.applyPeerChange("n", 1, {
      changed: [newItem("1"), newItem("2")],
      writing: [],
      ended: [],
    });
    tracker.replacePeer("n", 4, [newItem("2"), newItem("3")]);
    expect(tracker.getLoads().get("u0")?.inFlight).to.equal(2);
  });

  it("estimates the requests of peers that it doesn't know of yet, while they send them", async () => {
    const clock = new ManualClock();
    const options = { clock, onOwnChange: () => undefined, getLagMs: () => 50 };
    const tracker = new LoadTracker(options);
    tracker.setOwn(newItem("own"));
    tracker.applyPeerChange("n", 1, {
      ...{ changed: [newItem("1"), newItem("2")], writing: [], ended: [] },
    });
    // Two requests in half a second make a fifth of one in 50 ms.
    expect(tracker.getLoads().get("u0")?.unseen).to.equal(0.2);
    tracker.replacePeer("n", 2, [newItem("1", { phase: "reading" }), newItem("2")]);
    await clock.advance(600);
    expect(tracker.getLoads().get("u0")?.unseen).to.equal(0);
  });

  it("leaves out the requests of a silent peer", async () => {
    const { clock, tracker } = newTracker();
    tracker.setOwn(newItem("own"));
    tracker.applyPeerChange("n", 1, { changed: [newItem("1")], writing: [], ended: [] });
    expect(tracker.getLoads().get("u0")?.inFlight).to.equal(2);
    await clock.advance(2_000);
    expect(tracker.getLoads().get("u0")?.inFlight).to.equal(1);
  });
});

describe("LoadTracker with peers that have a long heartbeat interval", () => {
  const cases: readonly [name: string, beatMs: number, silentMs: number, isKept: boolean][] = [
    ["keeps the load of a peer between two heartbeats of a long interval", 700, 1_900, true],
    ["leaves out the load of a peer that missed three of them", 700, 2_200, false],
    ["leaves out the load of a peer with a short interval", 250, 1_900, false],
  ];
  for (const [name, beatMs, silentMs, isKept] of cases) {
    it(name, async () => {
      const clock = new ManualClock();
      const tracker = new LoadTracker({ clock, onOwnChange: () => undefined });
      tracker.replacePeer("n", 1, [newItem("1")]);
      tracker.recordHeartbeat("n", beatMs);
      await clock.advance(silentMs);
      expect(tracker.getLoads().has("u0")).to.equal(isKept);
    });
  }
});

describe("sample", () => {
  const fleet = Array.from({ length: 86 }, (_, index) => `10.0.0.${String(index)}:80`);

  it("picks each process of a large fleet about equally often", () => {
    const random = new SeededRandom(5);
    const counts = new Map<string, number>();
    for (let i = 0; i < 500; i++) {
      const picked = sample(fleet, 64, random);
      expect(new Set(picked).size).to.equal(64);
      picked.forEach((address) => counts.set(address, (counts.get(address) ?? 0) + 1));
    }
    expect(Math.min(...fleet.map((address) => counts.get(address) ?? 0))).to.be.above(320);
  });

  it("picks all of a small fleet", () => {
    const picked = sample(fleet.slice(0, 6), 64, new SeededRandom(5));
    expect(picked).to.have.members(fleet.slice(0, 6));
  });
});

describe("PeerTable", () => {
  const newPeer = (
    host: string,
    state: PeerState = "live",
    incarnation = 1,
    beatMs = 250,
  ): PeerIdentity => ({
    ...{ host, state, incarnation, failureDomain: "z" },
    ...{ callerAddress: `${host}:80`, revision: 1, listVersion: 1, listDigest: "d" },
    ...{ reads: {}, capacity: 1, beatMs },
  });
  const getHosts = (peers: readonly PeerIdentity[]): string[] => peers.map(({ host }) => host);

  it("names to callers only live peers with a recent heartbeat", async () => {
    const clock = new ManualClock();
    const table = new PeerTable({ clock, self: "self" });
    table.addHosts(["self", "unseen"]);
    table.recordHeartbeat(newPeer("silent"));
    await clock.advance(900);
    table.recordHeartbeat(newPeer("live"));
    table.recordHeartbeat(newPeer("leaving", "leaving"));
    table.recordHeartbeat(newPeer("joining", "joining"));
    await clock.advance(500);
    expect(getHosts(table.getServing())).to.deep.equal(["live"]);
    expect(table.hosts).to.have.members(["unseen", "silent", "live", "leaving", "joining"]);
  });

  it("allows a longer silence for peers with a long heartbeat interval", async () => {
    const clock = new ManualClock();
    const table = new PeerTable({ clock, self: "self" });
    table.recordHeartbeat(newPeer("short"));
    table.recordHeartbeat(newPeer("long", "live", 1, 700));
    await clock.advance(1_500);
    expect(getHosts(table.getServing())).to.deep.equal(["long"]);
    await clock.advance(500);
    table.recordHeartbeat(newPeer("short"));
    expect(getHosts(table.getServing())).to.deep.equal(["short"]);
  });

  it("keeps naming peers for a while when all of them fall silent at once", async () => {
    const clock = new ManualClock();
    const table = new PeerTable({ clock, self: "self" });
    table.recordHeartbeat(newPeer("a"));
    table.recordHeartbeat(newPeer("b"));
    await clock.advance(5_000);
    expect(getHosts(table.getServing())).to.deep.equal(["a", "b"]);
    await clock.advance(20_000);
    expect(getHosts(table.getServing())).to.deep.equal([]);
  });

  // Guards against answers that name machines killed 7 s before, by one that alone goes on.
  it("names none of them for long while this process reaches its other sources", async () => {
    const clock = new ManualClock();
    const table = new PeerTable({ clock, self: "self" });
    ["a", "b"].forEach((host) => table.recordHeartbeat(newPeer(host, "live", 1, 1_000)));
    const names = async (): Promise<string[]> => {
      await clock.advance(1_000);
      table.prune();
      return getHosts(table.getServing({ isConnected: true }));
    };
    const named = [await names(), await names(), await names(), await names(), await names()];
    expect(named).to.deep.equal(named.map(() => ["a", "b"]));
    await names();
    expect(await names()).to.deep.equal([]);
  });

  it("names them after a freeze until they had time to be heard", async () => {
    const clock = new ManualClock();
    const table = new PeerTable({ clock, self: "self" });
    ["a", "b"].forEach((host) => table.recordHeartbeat(newPeer(host)));
    await clock.advance(9_000);
    expect(getHosts(table.getServing({ isConnected: true }))).to.deep.equal(["a", "b"]);
    await clock.advance(1_000);
    table.recordHeartbeat(newPeer("b"));
    expect(getHosts(table.getServing({ isConnected: true }))).to.deep.equal(["b"]);
  });

  it("doesn't go back to an older heartbeat that was relayed late", () => {
    const table = new PeerTable({ clock: new ManualClock(), self: "self" });
    table.recordHeartbeat({ ...newPeer("a", "leaving"), beat: 8 });
    table.recordHeartbeat({ ...newPeer("a", "live"), beat: 7 });
    expect(table.getServing()).to.deep.equal([]);
  });

  it("returns the incarnation that a restarted peer supersedes", () => {
    const table = new PeerTable({ clock: new ManualClock(), self: "self" });
    expect(table.recordHeartbeat(newPeer("a", "live", 1))).to.equal(undefined);
    expect(table.recordHeartbeat(newPeer("a", "live", 1))).to.equal(undefined);
    expect(table.recordHeartbeat(newPeer("a", "joining", 2))).to.equal(1);
  });
});
