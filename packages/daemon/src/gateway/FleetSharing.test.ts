import { SeededRandom, SystemClock } from "@lycheepulley/core";
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

import { FleetSharing } from "./FleetSharing.js";

const LOCALHOST = "127.0.0.1";

const newUpstream = (id: string): Upstream => ({
  ...{ id, pool: "p", host: LOCALHOST, port: 1, failureDomain: "z", slots: 4, isLeaving: false },
});

const newView = (revision: number, version: number, ids: readonly string[]): FleetView => {
  const view = new FleetView();
  view.applyConfig({ revision, routes: [], pools: [], limits: DEFAULT_CALLER_LIMITS });
  const list = { version, upstreams: ids.map((id) => newUpstream(id)) };
  view.applyUpstreams(list, 0, new Set());
  return view;
};

/** A process with `own` view that hears a peer with `peer` view over loopback. */
class Story {
  readonly learned: string[] = [];
  readonly #server = new NodeServer();
  readonly #own: FleetView;
  readonly #peer: FleetView;
  readonly #peers = new PeerTable({ clock: new SystemClock(), self: "self" });
  #calls = 0;
  #sharing: FleetSharing | undefined;

  constructor(own: FleetView, peer: FleetView) {
    this.#own = own;
    this.#peer = peer;
  }

  async start(): Promise<void> {
    this.#newSharing(this.#peer, 0).serve(this.#server);
    await this.#server.listen(LOCALHOST, 0);
    this.#sharing = this.#newSharing(this.#own, this.#server.port);
  }

  hear(): void {
    const peer: PeerIdentity = {
      ...{ host: LOCALHOST, incarnation: 1, failureDomain: "z", callerAddress: "a:1" },
      ...{ state: PeerState.Live, revision: this.#peer.revision, beatMs: 250 },
      ...{ listVersion: this.#peer.list.version, listDigest: this.#peer.listDigest },
      ...{ reads: { configMs: 400, listMs: 400 }, capacity: 1 },
    };
    this.#peers.recordHeartbeat(peer);
    this.#sharing?.onPeer(peer);
  }

  /** Resolves once so much was learned. */
  async settle(count: number): Promise<void> {
    while (this.learned.length < count) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }

  get calls(): number {
    return this.#calls;
  }

  async close(): Promise<void> {
    await this.#server.close();
  }

  #newSharing(view: FleetView, port: number): FleetSharing {
    return new FleetSharing({
      ...{ clock: new SystemClock(), random: new SeededRandom(1), port, view },
      peers: this.#peers,
      logger: {
        ...newSilentLogger(),
        info: () => {
          this.#calls += 1;
        },
      },
      onConfig: ({ revision }) => this.learned.push(`config ${String(revision)}`),
      onList: ({ version }) => this.learned.push(`list ${String(version)}`),
      onFailed: () => this.learned.push("failed"),
      onConfirmed: (version) => this.learned.push(`confirmed ${String(version)}`),
    });
  }
}

describe("FleetSharing", () => {
  const cases: readonly [name: string, own: FleetView, peer: FleetView, learned: string[]][] = [
    [
      "asks a peer that has a newer configuration",
      newView(1, 5, ["a"]),
      newView(2, 4, ["b"]),
      ["config 2", "list 4"],
    ],
    [
      "asks a peer whose newer list has other entries",
      newView(1, 5, ["a"]),
      newView(1, 6, ["a", "b"]),
      ["list 6"],
    ],
    [
      "asks for no more than the configuration where the lists are the same",
      newView(1, 5, ["a"]),
      newView(2, 5, ["a"]),
      ["confirmed 5", "config 2"],
    ],
    [
      "takes the word of a peer whose newer list has the same entries",
      newView(1, 5, ["a"]),
      newView(1, 9, ["a"]),
      ["confirmed 9"],
    ],
  ];
  for (const [name, own, peer, learned] of cases) {
    it(name, async () => {
      const story = new Story(own, peer);
      await story.start();
      story.hear();
      await story.settle(learned.length);
      await story.close();
      expect(story.learned).to.deep.equal(learned);
    });
  }

  it("asks once while an answer is awaited", async () => {
    const story = new Story(newView(1, 5, ["a"]), newView(2, 6, ["b"]));
    await story.start();
    story.hear();
    story.hear();
    await story.settle(2);
    await story.close();
    expect(story.calls).to.equal(1);
  });

  it("tells that a peer didn't answer", async () => {
    const story = new Story(newView(1, 5, ["a"]), newView(2, 6, ["b"]));
    await story.start();
    await story.close();
    story.hear();
    await story.settle(1);
    expect(story.learned).to.deep.equal(["failed"]);
  });

  it("doesn't ask a peer that is behind", async () => {
    const story = new Story(newView(3, 9, ["a"]), newView(2, 6, ["b"]));
    await story.start();
    story.hear();
    await story.close();
    expect(story.learned).to.deep.equal([]);
  });
});
