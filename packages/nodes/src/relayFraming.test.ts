import { createServer, type AddressInfo, type Server, type Socket } from "node:net";
import type { Duplex } from "node:stream";

import { expect } from "chai";

import { openRelay, RelayError } from "./openRelay.js";

const LOCALHOST = "127.0.0.1";
const OK = "HTTP/1.1 200 OK\r\n";
const CHUNKED = `${OK}Transfer-Encoding: chunked\r\n\r\n`;
const LATER_MS = 20;

const writeAndReset = (socket: Socket, text: string): void => {
  socket.write(text);
  socket.resetAndDestroy();
};
const writeAndEnd = (socket: Socket, text: string): void => {
  socket.end(text);
};
const writeAndResetLater = (socket: Socket, text: string): void => {
  socket.write(text, () => setTimeout(() => socket.resetAndDestroy(), LATER_MS));
};

/** Resolves with how a connection ends. */
const waitForEnd = (connection: Duplex): Promise<"end" | "error"> =>
  new Promise((resolve) => {
    connection.resume();
    connection.on("end", () => {
      resolve("end");
    });
    connection.on("error", () => {
      resolve("error");
    });
  });

describe("answers of peers that relay", () => {
  let server: Server;
  let onRequest: (socket: Socket) => void;

  beforeEach((done) => {
    server = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.once("data", () => {
        onRequest(socket);
      });
    });
    server.listen(0, LOCALHOST, done);
  });
  afterEach(() => {
    server.close();
  });

  const open = (): Promise<Duplex> =>
    openRelay(
      { host: LOCALHOST, port: (server.address() as AddressInfo).port },
      { host: LOCALHOST, port: 1, timeoutMs: 500 },
    );

  const refused: readonly [name: string, text: string][] = [
    ["without framing", `${OK}\r\nabc`],
    ["with a length", `${OK}Content-Length: 3\r\n\r\nabc`],
    ["in another coding than chunks", `${OK}Transfer-Encoding: gzip\r\n\r\nabc`],
    ["of HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nabc"],
  ];
  for (const [name, text] of refused) {
    // The end of such an answer was taken for that of the target's bytes.
    it(`are no relay ${name}`, async () => {
      onRequest = (socket) => socket.end(text);
      const result = await open().then(waitForEnd, (err: unknown) => err);
      expect(result).to.be.instanceOf(RelayError).and.to.include({ hasTried: false });
    });
  }

  const ends: readonly [
    name: string,
    text: string,
    close: (socket: Socket, text: string) => void,
    end: "end" | "error",
  ][] = [
    ["an end behind the last chunk", "3\r\nabc\r\n0\r\n\r\n", writeAndEnd, "end"],
    ["a reset behind the last chunk", "3\r\nabc\r\n0\r\n\r\n", writeAndReset, "end"],
    ["an end without a last chunk", "3\r\nabc\r\n", writeAndEnd, "error"],
    ["an end inside a chunk", "9\r\nabc", writeAndEnd, "error"],
    ["an end inside the last chunk", "3\r\nabc\r\n0\r\n", writeAndEnd, "error"],
    ["a reset with data", "3\r\nabc\r\n", writeAndReset, "error"],
    ["a reset behind data", "3\r\nabc\r\n", writeAndResetLater, "error"],
  ];
  for (const [name, text, close, end] of ends) {
    it(`tell "${end}" by ${name}`, async () => {
      onRequest = (socket) => {
        close(socket, CHUNKED + text);
      };
      expect(await waitForEnd(await open())).to.equal(end);
    });
  }
});
