import { once } from "node:events";
import { connect, createServer, type AddressInfo, type Server, type Socket } from "node:net";
import { Duplex } from "node:stream";

import { Closing } from "@lycheepulley/core";
import { expect } from "chai";

import { ConnectionEnd, isReset } from "./ConnectionEnd.js";

const LOCALHOST = "127.0.0.1";
const DATA = "x".repeat(1_000);
const LATER_MS = 10;

const CASES: readonly {
  name: string;
  /** The reader's side has ended before. */
  isHalfClosed?: boolean;
  close: (peer: Socket) => void;
  closing: readonly Closing[];
}[] = [
  { name: "ends it", close: (peer) => peer.end(), closing: [Closing.Orderly] },
  { name: "ends it with data", close: (peer) => peer.end(DATA), closing: [Closing.Orderly] },
  {
    name: "ends it and leaves unread bytes",
    close: (peer) => {
      peer.pause();
      peer.end(DATA);
    },
    closing: [Closing.Orderly],
  },
  {
    name: "resets it",
    close: (peer) => peer.resetAndDestroy(),
    closing: [Closing.Reset],
  },
  {
    name: "resets it with data",
    close: (peer) => {
      peer.write(DATA);
      peer.resetAndDestroy();
    },
    closing: [Closing.Reset],
  },
  {
    name: "resets it later",
    close: (peer) => {
      peer.write(DATA, () => setTimeout(() => peer.resetAndDestroy(), LATER_MS));
    },
    closing: [Closing.Reset],
  },
  {
    // Whole exchanges between two sides that both end were told as reset.
    name: "ends it behind the reader's side",
    isHalfClosed: true,
    close: (peer) => peer.end(DATA),
    closing: [Closing.Orderly, Closing.Unknown],
  },
  {
    name: "resets it with data behind the reader's side",
    isHalfClosed: true,
    close: (peer) => {
      peer.write(DATA);
      peer.resetAndDestroy();
    },
    closing: [Closing.Reset, Closing.Unknown],
  },
];

describe("ConnectionEnd", () => {
  let server: Server;
  let onPeer: (peer: Socket) => void;

  beforeEach((done) => {
    server = createServer({ allowHalfOpen: true }, (peer) => {
      peer.on("error", () => undefined);
      onPeer(peer);
    });
    server.listen(0, LOCALHOST, done);
  });
  afterEach(() => {
    server.close();
  });

  for (const { name, isHalfClosed = false, close, closing } of CASES) {
    it(`tells "${closing.join('" or "')}" when the peer ${name}`, async () => {
      onPeer = (peer) => {
        peer.resume();
        if (isHalfClosed) {
          peer.once("end", () => {
            close(peer);
          });
        } else {
          peer.once("data", () => {
            close(peer);
          });
        }
      };
      const { port } = server.address() as AddressInfo;
      const socket = connect({ host: LOCALHOST, port, allowHalfOpen: isHalfClosed });
      const connectionEnd = new ConnectionEnd(socket);
      await new Promise<void>((resolve) => {
        socket.on("end", resolve);
        socket.on("error", () => {
          resolve();
        });
        socket.resume();
        if (isHalfClosed) {
          socket.end(DATA);
        } else {
          socket.write(DATA);
        }
      });
      socket.destroy();
      expect(connectionEnd.closing).to.be.oneOf([...closing]);
    });
  }

  const states: readonly [
    name: string,
    act: (peer: Socket, socket: Socket) => void,
    isReset: boolean,
  ][] = [
    ["open", () => undefined, false],
    ["ended by its peer", (peer) => peer.end(DATA), false],
    ["ended by both", (peer, socket) => peer.end(DATA) && socket.end(), false],
    ["reset by its peer", (peer) => peer.resetAndDestroy(), true],
    [
      "reset by its peer behind data",
      (peer) => {
        peer.write(DATA);
        peer.resetAndDestroy();
      },
      true,
    ],
    ["closed here", (_peer, socket) => socket.destroy(), true],
  ];
  for (const [name, act, expected] of states) {
    it(`tells whether a connection is reset before its end is read: ${name}`, async () => {
      const connected = new Promise<Socket>((resolve) => {
        onPeer = resolve;
      });
      const { port } = server.address() as AddressInfo;
      const socket = connect({ host: LOCALHOST, port, allowHalfOpen: true });
      socket.on("error", () => undefined);
      const [peer] = await Promise.all([connected, once(socket, "connect")]);
      socket.pause();
      expect(isReset(socket)).to.equal(false);
      act(peer, socket);
      await new Promise((resolve) => setTimeout(resolve, LATER_MS));
      expect(isReset(socket)).to.equal(expected);
      socket.destroy();
      peer.destroy();
    });
  }

  it("takes the end of a stream that is no socket for orderly", async () => {
    const stream = new Duplex({ read: () => undefined, write: () => undefined });
    const connectionEnd = new ConnectionEnd(stream);
    const ended = new Promise((resolve) => stream.on("end", resolve));
    expect(connectionEnd.closing).to.equal(Closing.Unknown);
    stream.resume();
    stream.push(null);
    await ended;
    expect(connectionEnd.closing).to.equal(Closing.Orderly);
  });
});
