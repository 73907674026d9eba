import type { Socket } from "node:net";

import { expect } from "chai";

import { getStatus, newRequest, useListener } from "./testing/ListenerHarness.js";

const TIMES = { listenMs: 0, drainMs: 5_000, closeMs: 150 };

const wait = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** All that comes on a connection until it is closed, also by an error. */
const readToClose = (socket: Socket): Promise<string> =>
  new Promise((resolve) => {
    let text = "";
    socket.on("data", (chunk: Buffer) => (text += chunk.toString()));
    socket.once("close", () => {
      resolve(text);
    });
  });

describe("ForwardServer: the end of its process", () => {
  const fixture = useListener();
  let forwarded = 0;

  beforeEach(() => {
    forwarded = 0;
    fixture.harness.forward = (_req, writer) => {
      forwarded += 1;
      writer.sendOwn(200, "answered");
      return Promise.resolve();
    };
  });

  const connectAndSend = async (bytes: string): Promise<Socket> => {
    const socket = await fixture.harness.connect();
    if (bytes !== "") {
      socket.write(bytes);
    }
    await wait(50);
    return socket;
  };

  /** Comes to the state in which nothing is admitted any more, by the end of its time. */
  const startClosing = (): void => {
    const { lifecycle } = fixture.harness;
    const now = performance.now();
    lifecycle.leave(now, TIMES);
    lifecycle.advance(now, 1);
    lifecycle.advance(now + TIMES.drainMs, 1);
    expect(lifecycle.isClosing).to.equal(true);
  };

  const request = newRequest([], "body");
  const parts: readonly [name: string, sentBytes: number][] = [
    ["on a connection that was open before", 0],
    ["whose head had begun before", 20],
    ["whose body had begun before", request.length - 2],
  ];
  for (const [name, sentBytes] of parts) {
    // Requests were passed on in the last moments of a process, and their connections closed without an answer.
    it(`rejects a request that comes after the end of the drain ${name}`, async () => {
      const socket = await connectAndSend(request.slice(0, sentBytes));
      startClosing();
      const answer = readToClose(socket);
      socket.write(request.slice(sentBytes));
      const text = await answer;
      expect(getStatus(text)).to.equal(503);
      expect(text)
        .to.match(/\r\nRetry-After: 0\.05\r\n/)
        .and.to.match(/\r\nConnection: close\r\n/);
      expect(forwarded).to.equal(0);
    });
  }

  const waits: readonly [name: string, sent: string, isWaiting: boolean, afterMs: number][] = [
    ["a new connection, whose request is likely to come", "", true, 0],
    ["no connection that stays unused", "", false, 300],
    ["a head that isn't complete", request.slice(0, 20), true, 300],
    ["no head that doesn't go on", request.slice(0, 20), false, 700],
    ["a request whose body isn't complete", request.slice(0, -2), true, 700],
    ["no connection after its answer", request, false, 0],
    ["no line end after a request for long", `${request}\r\n`, false, 700],
  ];
  for (const [name, sent, isWaiting, afterMs] of waits) {
    // A process ended under requests whose heads had come in part.
    it(`has its process wait for ${name}`, async () => {
      const { connections } = fixture.harness.server;
      const socket = await connectAndSend(sent);
      connections.countInProgress();
      await wait(afterMs);
      expect(connections.countInProgress()).to.equal(isWaiting ? 1 : 0);
      socket.destroy();
    });
  }

  // The rest of a body that came after the answer was taken for a head, and held a drain to its end.
  it("has its process wait for nothing after a rejected request whose body ended later", async () => {
    const { server } = fixture.harness;
    const rejected = request.replace("/a/1", "/none/1");
    const socket = await connectAndSend(rejected.slice(0, -2));
    socket.write(rejected.slice(-2));
    await wait(50);
    expect(server.connections.countInProgress()).to.equal(0);
    socket.destroy();
  });

  // A process that was busy for a moment closed connections whose requests it hadn't read.
  it("answers requests that its process hasn't read when connections are closed", async () => {
    const { server } = fixture.harness;
    const kept = await connectAndSend(request);
    const unused = await connectAndSend("");
    await wait(250);
    const answers = [kept, unused].map(readToClose);
    [kept, unused].forEach((socket) => socket.write(request));
    server.close();
    server.closeUnused();
    await wait(250);
    [kept, unused].forEach((socket) => socket.end());
    const counts = (await Promise.all(answers)).map((text) => text.match(/HTTP\/1.1 200/g)?.length);
    expect(counts).to.deep.equal([2, 1]);
  });

  it("closes connections on which no request has begun", async () => {
    const unused = await connectAndSend("");
    const partial = await connectAndSend(request.slice(0, 20));
    const closed = readToClose(unused);
    fixture.harness.server.closeUnused();
    expect(await closed).to.equal("");
    expect(partial.readableEnded).to.equal(false);
    partial.destroy();
  });

  // An answer that the end of a process cut looked complete where it had no framing.
  it("resets connections whose answers aren't complete", async () => {
    const { harness } = fixture;
    harness.forward = (_req, writer) => {
      writer.sendHead(200, []);
      writer.write(Buffer.from("half of it"));
      return new Promise(() => undefined);
    };
    const socket = await harness.connect();
    let code: string | undefined;
    socket.on("error", (err: NodeJS.ErrnoException) => (code = err.code));
    const answer = readToClose(socket);
    socket.write(newRequest().replace("HTTP/1.1", "HTTP/1.0"));
    await wait(50);
    harness.server.destroy();
    expect(await answer).to.match(/half of it$/);
    expect(code).to.equal("ECONNRESET");
  });
});
