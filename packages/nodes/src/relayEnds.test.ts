import { once } from "node:events";
import { connect, createServer, type AddressInfo, type Server, type Socket } from "node:net";
import type { Duplex } from "node:stream";

import { expect } from "chai";

import { NodeServer } from "./NodeServer.js";
import { openRelay, RelayError } from "./openRelay.js";
import { RelayServer } from "./RelayServer.js";

const LOCALHOST = "127.0.0.1";
const TIMEOUT_MS = 1_000;
const PART_MS = 50;

describe("a peer that ends while it is asked to relay", () => {
  let target: Server;
  let targetSockets: Socket[];
  let hasEnded: boolean;
  let connecting: Promise<unknown>;
  let isConnecting: () => void;
  let letConnect: () => void;
  let relays: RelayServer;
  let peer: NodeServer;

  beforeEach(async () => {
    hasEnded = false;
    targetSockets = [];
    target = createServer((socket) => targetSockets.push(socket));
    await new Promise<void>((resolve) => target.listen(0, LOCALHOST, resolve));
    const mayConnect = new Promise<void>((resolve) => (letConnect = resolve));
    connecting = new Promise<void>((resolve) => (isConnecting = resolve));
    relays = new RelayServer({
      mayRelay: () => !hasEnded,
      connect: async ({ host, port }): Promise<Duplex> => {
        isConnecting();
        await mayConnect;
        const socket = connect(port, host);
        await once(socket, "connect");
        return socket;
      },
    });
    peer = new NodeServer([relays.route]);
    await peer.listen(LOCALHOST, 0);
  });
  afterEach(async () => {
    await peer.close();
    targetSockets.forEach((socket) => socket.destroy());
    target.close();
  });

  const getTargetPort = (): number => (target.address() as AddressInfo).port;
  const tryToOpen = (): Promise<unknown> =>
    openRelay(
      { host: LOCALHOST, port: peer.port },
      { host: LOCALHOST, port: getTargetPort(), timeoutMs: TIMEOUT_MS },
    ).catch((err: unknown) => err);

  it("counts a relay whose connection is being made, which it waits for", async () => {
    const opened = tryToOpen();
    await connecting;
    expect(relays.open).to.equal(1);
    letConnect();
    ((await opened) as Duplex).destroy();
  });

  // Guards against requests that are sent to a process which is about to cut them, and may have run.
  it("opens none when its connection is made after the decision to end", async () => {
    const opened = tryToOpen();
    await connecting;
    hasEnded = true;
    letConnect();
    const err = await opened;
    expect(err).to.be.instanceOf(RelayError);
    expect(err).to.include({ hasTried: false });
    expect(relays.open).to.equal(0);
  });

  for (const sentBytes of [1, 30]) {
    // Guards against the first bytes of a head that let a relay in after the decision to end.
    it(`opens none when the head came in parts, ${String(sentBytes)} of its bytes before the decision`, async () => {
      const head = [
        ...["POST /relay HTTP/1.1", "host: a", `x-relay-host: ${LOCALHOST}`],
        ...[`x-relay-port: ${String(getTargetPort())}`, "x-relay-timeout-ms: 100"],
        ...["transfer-encoding: chunked", "", ""],
      ].join("\r\n");
      const socket = connect(peer.port, LOCALHOST);
      socket.write(head.slice(0, sentBytes));
      await new Promise((resolve) => setTimeout(resolve, PART_MS));
      hasEnded = true;
      letConnect();
      socket.write(head.slice(sentBytes));
      const [answer] = (await once(socket, "data")) as [Buffer];
      expect(answer.toString()).to.match(/^HTTP\/1\.1 503 /);
      expect(targetSockets).to.deep.equal([]);
      socket.destroy();
    });
  }
});
