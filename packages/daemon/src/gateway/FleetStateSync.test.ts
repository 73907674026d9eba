import { SeededRandom, sleep, SystemClock } from "@lycheepulley/core";
import {
  DEFAULT_CALLER_LIMITS,
  FleetView,
  PeerState,
  PeerTable,
  type PeerIdentity,
  type Upstream,
} from "@lycheepulley/forwarding";
import { NodeServer } from "@lycheepulley/nodes";
import { newSilentLogger } from "@lycheepulley/telemetry";
import { expect } from "chai";

import { FleetStateSync } from "./FleetStateSync.js";
import { RelayRole } from "./RelayTopology.js";

const LOCALHOST = "127.0.0.1";
/** Longer than the random delay of a fetch. */
const MAX_FETCH_DELAY_MS = 80;

const newUpstream = (id: string): Upstream => ({
  ...{ id, pool: "p", host: LOCALHOST, port: 1, failureDomain: "z", slots: 4, isLeaving: false },
});

const newView = (
  revision: number,
  version: number,
  ids: readonly string[],
  epoch?: number,
): FleetView => {
  const view = new FleetView();
  view.applyConfig({ revision, routes: [], pools: [], limits: DEFAULT_CALLER_LIMITS });
  const list = { epoch, version, upstreams: ids.map((id) => newUpstream(id)) };
  view.applyUpstreams(list, 0, new Set());
  return view;
};

/** A process with the view `own` and a peer with the view `peer`, connected over loopback. */
class SyncedPair {
  readonly events: string[] = [];
  readonly #server = new NodeServer();
  readonly #own: FleetView;
  readonly #peer: FleetView;
  readonly #peers = new PeerTable({ clock: new SystemClock(), self: "self" });
  #fetches = 0;
  #sync: FleetStateSync | undefined;

  readonly #place: { readonly failureDomain: string; readonly role: RelayRole };

  /** The peer's failure domain is "z". */
  constructor(
    own: FleetView,
    peer: FleetView,
    place: { failureDomain: string; role: RelayRole } = {
      ...{ failureDomain: "z", role: RelayRole.Direct },
    },
  ) {
    this.#own = own;
    this.#peer = peer;
    this.#place = place;
  }

  async start(): Promise<void> {
    this.#newSync(this.#peer, 0).serve(this.#server);
    await this.#server.listen(LOCALHOST, 0);
    this.#sync = this.#newSync(this.#own, this.#server.port);
  }

  receiveHeartbeat(): void {
    const peer: PeerIdentity = {
      ...{ host: LOCALHOST, incarnation: 1, failureDomain: "z", callerAddress: "a:1" },
      ...{ state: PeerState.Live, revision: this.#peer.revision, beatMs: 250 },
      ...{ listEpoch: this.#peer.list.epoch, listVersion: this.#peer.list.version },
      ...{ listDigest: this.#peer.listDigest },
      ...{ reads: { configMs: 400, listMs: 400 }, capacity: 1 },
    };
    this.#peers.recordHeartbeat(peer);
    this.#sync?.onPeerHeartbeat(peer);
  }

  /** Resolves once `count` events have happened. */
  async waitForEvents(count: number): Promise<void> {
    while (this.events.length < count) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }

  get fetches(): number {
    return this.#fetches;
  }

  async close(): Promise<void> {
    await this.#server.close();
  }

  #newSync(view: FleetView, port: number): FleetStateSync {
    return new FleetStateSync({
      ...{ clock: new SystemClock(), random: new SeededRandom(1), port, view },
      peers: this.#peers,
      logger: {
        ...newSilentLogger(),
        info: () => {
          this.#fetches += 1;
        },
      },
      failureDomain: this.#place.failureDomain,
      getRole: () => this.#place.role,
      configTracker: {
        ageMs: 0,
        wants: (revision) => revision > view.revision,
        onFetchFailed: () => undefined,
      },
      onConfig: ({ announced }) => this.events.push(`config ${String(announced)}`),
      onList: ({ epoch, version }) =>
        this.events.push(
          `list ${epoch === undefined ? "" : `${String(epoch)}/`}${String(version)}`,
        ),
      onFetchFailed: () => this.events.push("failed"),
      onListConfirmed: ({ version }) => this.events.push(`confirmed ${String(version)}`),
    });
  }
}

describe("FleetStateSync", () => {
  const cases: readonly [name: string, own: FleetView, peer: FleetView, events: string[]][] = [
    [
      "fetches from a peer that has a newer configuration",
      newView(1, 5, ["a"]),
      newView(2, 4, ["b"]),
      ["config 2", "list 4"],
    ],
    [
      "fetches a newer list with other entries",
      newView(1, 5, ["a"]),
      newView(1, 6, ["a", "b"]),
      ["list 6"],
    ],
    [
      "fetches only the configuration when the lists are equal",
      newView(1, 5, ["a"]),
      newView(2, 5, ["a"]),
      ["confirmed 5", "config 2"],
    ],
    [
      "confirms its list when a peer's newer version has the same entries",
      newView(1, 5, ["a"]),
      newView(1, 9, ["a"]),
      ["confirmed 9"],
    ],
  ];
  // Guard against peers in different epochs that overrule each other by version alone.
  const epochCases: typeof cases = [
    [
      "row peers: fetches a list of a newer epoch although its version is lower",
      newView(1, 900, ["a"], 1),
      newView(1, 40, ["b"], 2),
      ["list 2/40"],
    ],
    [
      "row peers: fetches from one that has epochs when it knows none",
      newView(1, 900, ["a"]),
      newView(1, 40, ["b"], 1),
      ["list 1/40"],
    ],
    [
      "row peers: confirms its list when one of a newer epoch has the same entries",
      newView(1, 900, ["a"], 1),
      newView(1, 40, ["a"], 2),
      ["confirmed 40"],
    ],
  ];
  for (const [name, own, peer, events] of [...cases, ...epochCases]) {
    it(name, async () => {
      const pair = new SyncedPair(own, peer);
      await pair.start();
      pair.receiveHeartbeat();
      await pair.waitForEvents(events.length);
      await pair.close();
      expect(pair.events).to.deep.equal(events);
    });
  }

  it("doesn't fetch again while a fetch is in progress", async () => {
    const pair = new SyncedPair(newView(1, 5, ["a"]), newView(2, 6, ["b"]));
    await pair.start();
    pair.receiveHeartbeat();
    pair.receiveHeartbeat();
    await pair.waitForEvents(2);
    await pair.close();
    expect(pair.fetches).to.equal(1);
  });

  // Guards against lists that cross the links between failure domains once for each process.
  const places: readonly [
    name: string,
    failureDomain: string,
    role: RelayRole,
    leastMs: number,
    mostMs: number,
  ][] = [
    ["at once from a peer of another domain as its domain's relay", "y", RelayRole.Relay, 0, 350],
    ["at once from a peer of its domain as a member", "z", RelayRole.Member, 0, 350],
    ["after a time from another domain as a member", "y", RelayRole.Member, 400, 2_000],
  ];
  for (const [name, failureDomain, role, leastMs, mostMs] of places) {
    it(`fetches ${name}`, async () => {
      const views = [newView(1, 5, ["a"]), newView(2, 6, ["b"])] as const;
      const pair = new SyncedPair(...views, { failureDomain, role });
      await pair.start();
      const startMs = performance.now();
      pair.receiveHeartbeat();
      await pair.waitForEvents(2);
      const tookMs = performance.now() - startMs;
      await pair.close();
      expect(tookMs).to.be.within(leastMs, mostMs);
    });
  }

  it("reports a peer that doesn't answer", async () => {
    const pair = new SyncedPair(newView(1, 5, ["a"]), newView(2, 6, ["b"]));
    await pair.start();
    await pair.close();
    pair.receiveHeartbeat();
    await pair.waitForEvents(1);
    expect(pair.events).to.deep.equal(["failed"]);
  });

  const older: readonly [name: string, own: FleetView, peer: FleetView][] = [
    ["with older state", newView(3, 9, ["a"]), newView(2, 6, ["b"])],
    [
      "row peers: of an older epoch although its version is greater",
      newView(1, 40, ["a"], 2),
      newView(1, 900, ["b"], 1),
    ],
    [
      "row peers: of an older epoch that has the same entries",
      newView(1, 40, ["a"], 2),
      newView(1, 900, ["a"], 1),
    ],
    ["row peers: of a build without epochs", newView(1, 40, ["a"], 2), newView(1, 900, ["b"])],
  ];
  for (const [name, own, peer] of older) {
    it(`neither fetches from nor is confirmed by a peer ${name}`, async () => {
      const pair = new SyncedPair(own, peer);
      await pair.start();
      pair.receiveHeartbeat();
      await sleep(new SystemClock(), MAX_FETCH_DELAY_MS);
      await pair.close();
      expect(pair.events).to.deep.equal([]);
    });
  }
});
