import {
  createConnection,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from "node:net";
import type { Duplex } from "node:stream";

import { expect } from "chai";

import { NodeServer } from "./NodeServer.js";
import { openRelay, RelayError } from "./openRelay.js";
import { RelayServer } from "./RelayServer.js";

const LOCALHOST = "127.0.0.1";
const UPLOAD = "ask".repeat(1_000_000);

const connect = (host: string, port: number): Promise<Duplex> =>
  new Promise((resolve, reject) => {
    const socket = createConnection({ host, port }, () => {
      resolve(socket);
    });
    socket.on("error", reject);
  });

/** Reads to the end of a connection. */
const readAll = (connection: Duplex): Promise<{ text: string; end: "end" | "error" }> =>
  new Promise((resolve) => {
    let text = "";
    connection.on("data", (chunk: Buffer) => {
      text += chunk.toString();
    });
    connection.on("end", () => {
      resolve({ text, end: "end" });
    });
    connection.on("error", () => {
      resolve({ text, end: "error" });
    });
  });

describe("connections relayed by a peer", () => {
  let target: Server;
  let targetPort: number;
  let onConnection: (socket: Socket) => void;
  let mayRelay: boolean;
  let relays: RelayServer;
  let peer: NodeServer;

  beforeEach(async () => {
    mayRelay = true;
    target = createServer((socket) => {
      socket.on("error", () => undefined);
      onConnection(socket);
    });
    await new Promise<void>((resolve) => target.listen(0, LOCALHOST, resolve));
    targetPort = (target.address() as AddressInfo).port;
    relays = new RelayServer({
      mayRelay: () => mayRelay,
      connect: ({ host, port }) => connect(host, port),
    });
    peer = new NodeServer([relays.route]);
    await peer.listen(LOCALHOST, 0);
  });
  afterEach(async () => {
    await peer.close();
    target.close();
  });

  const open = (port = targetPort): Promise<Duplex> =>
    openRelay({ host: LOCALHOST, port: peer.port }, { host: LOCALHOST, port, timeoutMs: 500 });

  const endings: readonly {
    name: string;
    upload?: string;
    answer: (socket: Socket) => void;
    end: "end" | "error";
  }[] = [
    { name: "ends its connection", answer: (socket) => socket.end("abc"), end: "end" },
    {
      name: "resets its connection",
      answer: (socket) =>
        socket.write("abc", () => {
          setTimeout(() => socket.resetAndDestroy(), 20);
        }),
      end: "error",
    },
    {
      // Guards against an answer that looks complete because its target's reset came together with data.
      name: "resets its connection together with its data",
      answer: (socket) => {
        socket.write("abc");
        socket.resetAndDestroy();
      },
      end: "error",
    },
    {
      name: "ends its side during an upload",
      upload: UPLOAD,
      answer: (socket) => socket.end("abc"),
      end: "end",
    },
    {
      // Guards against an answer that looks complete because the process in the middle has ended.
      name: "goes on while the peer ends",
      answer: (socket) =>
        socket.write("abc", () => {
          setTimeout(() => void peer.close(), 20);
        }),
      end: "error",
    },
  ];
  for (const { name, upload = "ask", answer, end } of endings) {
    it(`tell "${end}" when the target ${name}`, async () => {
      onConnection = (socket) => socket.once("data", () => answer(socket));
      const connection = await open();
      connection.write(upload);
      expect(await readAll(connection)).to.deep.equal({ text: "abc", end });
      connection.destroy();
    });
  }

  it("tell an error when the target resets its connection with data during an upload", async () => {
    onConnection = (socket) =>
      socket.once("data", () => {
        socket.pause();
        socket.write("abc");
        socket.resetAndDestroy();
      });
    const connection = await open();
    connection.write(UPLOAD);
    // The reset may overtake the data.
    expect((await readAll(connection)).end).to.equal("error");
  });

  it("pass bytes both ways before either side ends", async () => {
    onConnection = (socket) => socket.pipe(socket);
    const connection = await open();
    const echoed = readAll(connection);
    connection.write("one ");
    setTimeout(() => connection.end("two"), 30);
    expect(await echoed).to.deep.equal({ text: "one two", end: "end" });
  });

  it("are closed at the target once the peer's caller has left", async () => {
    const closed = new Promise((resolve) => {
      onConnection = (socket) => {
        socket.resume();
        socket.on("close", resolve);
      };
    });
    const connection = await open();
    expect(relays.open).to.equal(1);
    connection.destroy();
    await closed;
  });

  const refusals: readonly { name: string; arrange: () => Promise<void>; hasTried: boolean }[] = [
    {
      name: "the target refuses connections",
      arrange: () =>
        new Promise((resolve) =>
          target.close(() => {
            resolve();
          }),
        ),
      hasTried: true,
    },
    {
      name: "the peer doesn't relay",
      arrange: () => {
        mayRelay = false;
        return Promise.resolve();
      },
      hasTried: false,
    },
    { name: "the peer has ended", arrange: () => peer.close(), hasTried: false },
  ];
  for (const { name, arrange, hasTried } of refusals) {
    it(`fail before a byte is sent when ${name}`, async () => {
      const { port } = peer;
      await arrange();
      const opened = openRelay(
        { host: LOCALHOST, port },
        { host: LOCALHOST, port: targetPort, timeoutMs: 200 },
      );
      const err: unknown = await opened.then(
        () => undefined,
        (reason: unknown) => reason,
      );
      expect(err).to.be.instanceOf(RelayError);
      expect(err).to.include({ hasTried });
    });
  }
});
