import { createServer, type AddressInfo, type Server, type Socket } from "node:net";
import { Duplex } from "node:stream";

import type { Connector, SendState } from "@lycheepulley/forwarding";
import { expect } from "chai";

import { HttpUpstreamTransport } from "./HttpUpstreamTransport.js";
import { TcpConnector } from "./TcpConnector.js";

const LOCALHOST = "127.0.0.1";
const CONFIRM_MS = 60;
const BREAK_MS = 15;
const LIMIT_MS = 1_000;

const listen = (onConnection: (socket: Socket) => void): Promise<Server> =>
  new Promise((resolve) => {
    const server = createServer((socket) => {
      socket.on("error", () => undefined);
      onConnection(socket);
    });
    server.listen(0, LOCALHOST, () => {
      resolve(server);
    });
  });

/** Sends a request whose caller is asked for a while; resolves with how the call ended. */
const send = (port: number, connector: Connector): Promise<SendState | "end" | "never"> =>
  new Promise((resolve) => {
    const ignore = (): void => undefined;
    const call = new HttpUpstreamTransport(connector).open(
      {
        ...{ host: LOCALHOST, port, method: "POST", path: "/", body: Buffer.from("xy") },
        headers: ["Host", "a.example", "Content-Length", "2"],
        connectTimeoutMs: 5_000,
        confirm: () => new Promise((confirmed) => setTimeout(confirmed, CONFIRM_MS)),
      },
      {
        ...{ onHead: ignore, onData: ignore },
        onEnd: () => {
          resolve("end");
        },
        onError: (state) => {
          resolve(state);
        },
      },
    );
    setTimeout(() => {
      resolve("never");
      call.abort();
    }, LIMIT_MS);
  });

const closings: readonly [name: string, close: (socket: Socket) => void][] = [
  ["is closed in order", (socket) => socket.end()],
  ["is reset", (socket) => socket.resetAndDestroy()],
];

describe("HttpUpstreamTransport: connections that end while their caller is asked", () => {
  for (const [name, close] of closings) {
    // A call on a connection that had ended before its request was sent never ended itself.
    it(`tells that nothing was sent on a connection that ${name}`, async () => {
      const server = await listen((socket) => {
        setTimeout(() => {
          close(socket);
        }, BREAK_MS);
      });
      const end = await send((server.address() as AddressInfo).port, new TcpConnector());
      server.close();
      expect(end).to.equal("unsent");
    });
  }

  // An error of a relayed connection that nobody listened to ended the process.
  it("tells that nothing was sent on a relayed connection that breaks", async () => {
    const connection = new Duplex({ read: () => undefined, write: () => undefined });
    setTimeout(() => connection.destroy(new Error("relayed connection cut")), BREAK_MS);
    expect(await send(1, { connect: () => Promise.resolve(connection) })).to.equal("unsent");
  });
});
