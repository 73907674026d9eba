import { createSocket } from "node:dgram";
import { connect, createServer, type AddressInfo } from "node:net";

import type {
  Dialect,
  PeerIdentity,
  UpstreamControl,
  UpstreamTransport,
} from "@lycheepulley/forwarding";
import { newSilentLogger } from "@lycheepulley/telemetry";
import { expect } from "chai";
import fc from "fast-check";

import { GatewayNode } from "./GatewayNode.js";

const LOCALHOST = "127.0.0.1";
const RUNS = { seed: 20_261_204, numRuns: 250 };
/** Time for heartbeats and fetches that follow from the datagrams. */
const SETTLE_MS = 1_200;
const SOCKET_TIMEOUT_MS = 2_000;
/** Answers to requests, valid or not; none is an error of the server. */
const ANSWER = /^HTTP\/1\.1 (200|400|404|408|413|417|431) /;

const findFreePort = async (): Promise<number> => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, LOCALHOST, resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
};

/** Sends raw bytes, ends the connection and resolves with all that was answered. */
const exchange = (port: number, data: Buffer): Promise<string> =>
  new Promise((resolve) => {
    const parts: Buffer[] = [];
    const socket = connect(port, LOCALHOST, () => socket.end(data));
    socket.setTimeout(SOCKET_TIMEOUT_MS, () => socket.destroy());
    socket.on("data", (part) => parts.push(part));
    socket.on("error", () => undefined);
    socket.on("close", () => {
      resolve(Buffer.concat(parts).toString("latin1"));
    });
  });

const text = fc.string({ unit: "binary", maxLength: 20 });
const method = fc.oneof(
  fc.constantFrom("GET", "POST", "HEAD", "PUT", "OPTIONS", "CONNECT", "PRI", "BREW", ""),
  text,
);
const target = fc.oneof(
  fc.constantFrom("/", "//", "//:", "*", "?", "/rpc", "/metrics", "http://[", "/%00%ff", "a:1", ""),
  text,
);
const version = fc.oneof(
  { weight: 4, arbitrary: fc.constantFrom("HTTP/1.1", "HTTP/1.0") },
  fc.constantFrom("HTTP/9.9", "HTTP/", ""),
);
const header = fc.oneof(
  fc.constantFrom(
    ...["content-length: -1", "content-length: 9", "content-length: x", "content-length: 2"],
    ...["transfer-encoding: chunked", "transfer-encoding: x", "expect: x", "expect: 100-continue"],
    ...["connection: upgrade", "upgrade: websocket", "host: a", "host: b", "x", ": y", " z: 1"],
    `long: ${"x".repeat(20_000)}`,
  ),
  fc.tuple(text, text).map(([name, value]) => `${name}: ${value}`),
);
const body = fc.oneof(
  fc.constantFrom(
    "",
    "{}",
    "[]",
    "null",
    "2\r\n{}\r\n0\r\n\r\n",
    "ffffffffffffffffff\r\n",
    "[".repeat(9_999),
  ),
  fc.json(),
  text,
);
const request = fc
  .tuple(method, target, version, fc.array(header, { maxLength: 4 }), body)
  .map(([...parts]) => {
    const [verb, path, protocol, headers, rest] = parts;
    const lines = [`${verb} ${path} ${protocol}`, "host: a", "connection: close", ...headers];
    return Buffer.from(`${lines.join("\r\n")}\r\n\r\n${rest}`, "latin1");
  });

const hostText = fc.oneof(
  fc.constantFrom("", " ", "a b", "\u0000", "[", "::1", "0.0.0.0", LOCALHOST),
  text,
);
const identity: fc.Arbitrary<PeerIdentity> = fc.record({
  host: hostText,
  incarnation: fc.oneof(fc.integer(), fc.double({ noNaN: true, noDefaultInfinity: true })),
  failureDomain: text,
  capacity: fc.integer(),
  callerAddress: text,
  state: fc.constantFrom("joining", "live", "leaving"),
  revision: fc.constantFrom(-5, 0, 1e9),
  listVersion: fc.constantFrom(-5, 0, 1e9),
  listDigest: text,
  reads: fc.record({
    configMs: fc.constantFrom(-1, 0, 1e300),
    listMs: fc.constantFrom(-1, 0, 1e300),
  }),
  beatMs: fc.constantFrom(0, 1, 1e300),
});
const heartbeat = fc.record({
  identity,
  hosts: fc.array(hostText, { maxLength: 8 }),
  seq: fc.integer(),
  items: fc.constant([]),
});
const batch = fc.record({ beats: fc.array(heartbeat, { maxLength: 3 }) });
const change = fc.record({
  ...{ host: hostText, incarnation: fc.integer(), seq: fc.integer() },
  ...{ changed: fc.constant([]), writing: fc.array(text), ended: fc.array(text) },
});
const limit = fc.record(
  { upstream: text, perSecond: fc.double(), sentAgoMs: fc.double(), receivedAgoMs: fc.double() },
  { requiredKeys: ["upstream", "sentAgoMs", "receivedAgoMs"] },
);
const cost = fc.record({
  kind: fc.constantFrom("length", "call", "other"),
  ...{ pool: text, route: text, weight: fc.double(), values: fc.array(fc.double()) },
});
const paramsByMethod: Readonly<Record<string, fc.Arbitrary<unknown>>> = {
  "node.beat": heartbeat,
  "node.beat.relay": heartbeat,
  "node.beat.batch": batch,
  "load.change": change,
  "load.relay": change,
  "load.batch": fc.record({ changes: fc.array(change, { maxLength: 3 }) }),
  "crash.strike": fc.record({ fingerprint: text, upstream: text }),
  "limit.report": fc.record({ limits: fc.array(limit, { maxLength: 3 }) }),
  "cost.summary": fc.record({
    costs: fc.array(cost, { maxLength: 3 }),
    paces: fc.array(fc.record({ upstream: text, pace: fc.double(), weight: fc.double() })),
  }),
  "limit.charge": fc.record({ limit }),
  toString: fc.jsonValue(),
  constructor: fc.jsonValue(),
};
const notification = fc
  .oneof(
    ...Object.entries(paramsByMethod).map(([name, params]) =>
      fc.record({
        jsonrpc: fc.constantFrom("2.0", "2.0", "2.0", "1"),
        method: fc.constant(name),
        params: fc.oneof({ weight: 4, arbitrary: params }, fc.jsonValue()),
      }),
    ),
  )
  .map((message) => Buffer.from(JSON.stringify(message)));
const datagram = fc.oneof(
  { weight: 4, arbitrary: notification },
  fc.uint8Array({ maxLength: 40 }).map((bytes) => Buffer.from(bytes)),
);

describe("GatewayNode: input that no client sends", function () {
  this.timeout(60_000);
  let node: GatewayNode | undefined;
  let peerPort = 0;
  let metricsPort = 0;
  const unhandled: unknown[] = [];
  const onUnhandled = (reason: unknown): void => {
    unhandled.push(reason);
  };

  before(async () => {
    peerPort = await findFreePort();
    metricsPort = await findFreePort();
    const source = { start: () => undefined, stop: () => undefined };
    node = new GatewayNode({
      settings: {
        ...{ name: "n", host: LOCALHOST, failureDomain: "a", capacity: 1, seedHosts: [] },
        ...{ callerPort: await findFreePort(), peerPort, metricsPort, drainMs: 100 },
        ...{ retryRatio: 0.2, retryWindowMs: 1_000, retrySlack: 1, upstreamBeatMs: 1_000 },
      },
      sources: { config: source, upstreams: source, peers: source },
      dialect: {} as Dialect,
      links: {
        connector: { connect: () => Promise.reject(new Error("no links")) },
        newTransport: () => ({}) as UpstreamTransport,
        newControl: () => ({}) as UpstreamControl,
      },
      logger: newSilentLogger(),
    });
    await node.start();
    process.on("unhandledRejection", onUnhandled);
  });
  after(() => {
    process.off("unhandledRejection", onUnhandled);
    node?.stop();
  });

  const listeners = [
    { name: "metrics", getPort: () => metricsPort, path: "/metrics" },
    { name: "peers", getPort: () => peerPort, path: "/rpc" },
  ];
  for (const { name, getPort, path } of listeners) {
    // Guards against a request line that ends the process or that is served in place of refused.
    for (const line of [
      "GET // HTTP/1.1",
      "GET //: HTTP/1.1",
      "GET http://[ HTTP/1.1",
      "CONNECT a:1 HTTP/1.1",
      "BREW / HTTP/1.1",
      "GET / HTTP/9.9",
    ]) {
      it(`answers ${line} at the ${name} listener with 400`, async () => {
        const data = Buffer.from(`${line}\r\nhost: a\r\nconnection: close\r\n\r\n`);
        expect(await exchange(getPort(), data)).to.match(/^HTTP\/1\.1 400 /);
      });
    }

    it(`answers any bytes at the ${name} listener and goes on`, async () => {
      await fc.assert(
        fc.asyncProperty(request, async (data) => {
          expect(await exchange(getPort(), data)).to.match(ANSWER);
        }),
        RUNS,
      );
      const valid = `POST ${path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 2\r\n\r\n{}`;
      expect(await exchange(getPort(), Buffer.from(valid))).to.match(ANSWER);
      expect(unhandled).to.deep.equal([]);
    });
  }

  // Guards against a heartbeat whose host is no address: a fetch from it was an unhandled rejection.
  it("survives a peer with a newer configuration whose host is no address", async () => {
    const beat = {
      identity: {
        ...{ host: "a b", incarnation: 1, failureDomain: "a", capacity: 1, callerAddress: "" },
        ...{ state: "live", revision: 1e9, listVersion: 0, listDigest: "", reads: {}, beatMs: 1 },
      },
      ...{ hosts: [], seq: 1 },
    };
    const message = { jsonrpc: "2.0", method: "node.beat.batch", params: { beats: [beat] } };
    const socket = createSocket("udp4");
    await new Promise((resolve) => {
      socket.send(JSON.stringify(message), peerPort, LOCALHOST, resolve);
    });
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
    socket.close();
    expect(unhandled).to.deep.equal([]);
  });

  it("drops or handles any datagram and goes on", async () => {
    const socket = createSocket("udp4");
    await fc.assert(
      fc.asyncProperty(datagram, async (data) => {
        await new Promise((resolve) => {
          socket.send(data, peerPort, LOCALHOST, resolve);
        });
      }),
      RUNS,
    );
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
    socket.close();
    expect(unhandled).to.deep.equal([]);
  });
});
