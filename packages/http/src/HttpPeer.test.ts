import { createServer as createHttpServer } from "node:http";
import { createServer, type AddressInfo, type Server } from "node:net";

import { PeerError } from "@lycheepulley/core";
import { expect } from "chai";

import { HttpPeer } from "./HttpPeer.js";

const newSystemError = (code: string, syscall?: string): Error =>
  Object.assign(new Error(code), { code, ...(syscall === undefined ? {} : { syscall }) });

const CASES = [
  { name: "a refused connection", err: newSystemError("ECONNREFUSED", "connect"), sent: false },
  {
    name: "a connection attempt without answer",
    err: newSystemError("ETIMEDOUT", "connect"),
    sent: false,
  },
  { name: "no route to connect by", err: newSystemError("EHOSTUNREACH", "connect"), sent: false },
  { name: "no network to connect by", err: newSystemError("ENETUNREACH", "connect"), sent: false },
  {
    name: "a host name without address",
    err: newSystemError("ENOTFOUND", "getaddrinfo"),
    sent: false,
  },
  {
    name: "undici's time limit for connecting",
    err: newSystemError("UND_ERR_CONNECT_TIMEOUT"),
    sent: false,
  },
  {
    name: "failed attempts at every address",
    err: new AggregateError([
      newSystemError("ECONNREFUSED", "connect"),
      newSystemError("ETIMEDOUT", "connect"),
    ]),
    sent: false,
  },
  {
    name: "failed attempts of which one read",
    err: new AggregateError([
      newSystemError("ECONNREFUSED", "connect"),
      newSystemError("ETIMEDOUT", "read"),
    ]),
    sent: true,
  },
  { name: "several errors without any", err: new AggregateError([]), sent: true },
  {
    name: "an open connection that times out",
    err: newSystemError("ETIMEDOUT", "read"),
    sent: true,
  },
  { name: "a write that times out", err: newSystemError("ETIMEDOUT", "write"), sent: true },
  { name: "a route lost while reading", err: newSystemError("EHOSTUNREACH", "read"), sent: true },
  { name: "a network lost while reading", err: newSystemError("ENETUNREACH", "read"), sent: true },
  { name: "a code without its call", err: newSystemError("ECONNREFUSED"), sent: true },
  { name: "a reset connection", err: newSystemError("ECONNRESET", "read"), sent: true },
  { name: "headers that don't come", err: newSystemError("UND_ERR_HEADERS_TIMEOUT"), sent: true },
  { name: "a body that doesn't come", err: newSystemError("UND_ERR_BODY_TIMEOUT"), sent: true },
  { name: "an aborted request", err: newSystemError("UND_ERR_ABORTED"), sent: true },
  { name: "an error without a code", err: new Error("unknown"), sent: true },
  { name: "something thrown that is no error", err: "text", sent: true },
];

describe("HttpPeer", () => {
  const peer = new HttpPeer({ name: "p", kind: "test", origin: "http://127.0.0.1:1" });

  after(() => peer.close());

  // Guards against "not run" after a request was sent: codes such as ETIMEDOUT also end a connection
  // that has carried the request.
  for (const { name, err, sent } of CASES) {
    it(`counts a request as ${sent ? "sent" : "unsent"} after ${name}`, () => {
      expect(peer.toPeerError(err).sent).to.equal(sent);
    });
  }

  it("counts a request as unsent when the peer's port is closed", async () => {
    const failure: unknown = await peer.call("/").catch((err: unknown) => err);
    expect(failure).to.include({ sent: false });
  });
});

describe("HttpPeer: responses without end", () => {
  const servers: Server[] = [];
  /** Starts a server that answers each request with `start` and then `rest` again and again. */
  const listen = async (start: string, rest: string, gapMs: number): Promise<string> => {
    const server = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.once("data", () => {
        socket.write(start);
        const timer = setInterval(() => socket.write(rest), gapMs);
        socket.on("close", () => {
          clearInterval(timer);
        });
      });
    });
    servers.push(server);
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    return `http://127.0.0.1:${String((server.address() as AddressInfo).port)}`;
  };
  after(() => {
    servers.forEach((server) => server.close());
  });

  const OK = "HTTP/1.1 200 OK\r\n\r\n";
  const FAILED = "HTTP/1.1 500 No\r\n\r\n";
  const BLOCK = "x".repeat(1_000_000);
  // A response without end was kept in memory until the process had none left, or forever.
  const cases: readonly [name: string, start: string, rest: string, gapMs: number][] = [
    ["of large blocks", OK, BLOCK, 1],
    ["of a byte now and then", OK, "x", 20],
  ];
  for (const [name, start, rest, gapMs] of cases) {
    it(`ends a call whose response goes on ${name}`, async () => {
      const origin = await listen(start, rest, gapMs);
      const peer = new HttpPeer({ name: "p", kind: "test", origin, timeoutMs: 300 });
      const failure: unknown = await peer.call("/").catch((err: unknown) => err);
      expect(failure).to.include({ sent: true });
      await peer.close();
    });
  }

  it("ends a stream whose error response goes on", async () => {
    const origin = await listen(FAILED, BLOCK, 1);
    const peer = new HttpPeer({ name: "p", kind: "test", origin });
    const failure: unknown = await peer
      .stream("/", {}, () => undefined)
      .catch((err: unknown) => err);
    expect(failure).to.include({ sent: true, status: 500 });
    await peer.close();
  });
});

/** Listens for HTTP and answers `{}` to everything. */
const listenForJson = async (): Promise<{ origin: string; close: () => void }> => {
  const server = createHttpServer((_req, res) => res.end("{}"));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return { origin: `http://127.0.0.1:${String(port)}`, close: () => server.close() };
};

describe("HttpPeer: time-outs", () => {
  // Guards against calls that fail, and count as sent, for the fraction in the time that is left.
  for (const timeoutMs of [1_234.567, Infinity, 2 ** 33]) {
    it(`answers a call with a time-out of ${String(timeoutMs)} ms`, async () => {
      const { origin, close } = await listenForJson();
      const peer = new HttpPeer({ name: "p", kind: "test", origin });
      const called = await peer.call("/", { timeoutMs });
      const opened = await peer.open("/", { timeoutMs });
      let streamed = "";
      await peer.stream("/", { timeoutMs }, (bytes) => {
        streamed += bytes.toString();
      });
      expect([called.text, await opened.body.text(), streamed]).to.deep.equal(["{}", "{}", "{}"]);
      await peer.close();
      close();
    });
  }

  for (const timeoutMs of [0, -1, NaN]) {
    it(`ends a call with a time-out of ${String(timeoutMs)} ms`, async () => {
      const peer = new HttpPeer({ name: "p", kind: "test", origin: "http://127.0.0.1:9" });
      const err = await peer.call("/", { timeoutMs }).catch((reason: unknown) => reason);
      expect(err).to.be.instanceOf(PeerError);
      await peer.close();
    });
  }

  it("says that a request which the client rejects wasn't sent", async () => {
    const peer = new HttpPeer({ name: "p", kind: "test", origin: "http://127.0.0.1:9" });
    const err: unknown = await peer
      .call("/", { headers: { "bad header": "x" } })
      .catch((reason: unknown) => reason);
    expect((err as PeerError).sent).to.equal(false);
    await peer.close();
  });
});
