import { fork } from "node:child_process";
import { once } from "node:events";
import { connect, type Socket } from "node:net";

import { expect } from "chai";
import fc from "fast-check";

import { getStatus, newConfig, newRequest, useListener } from "./testing/ListenerHarness.js";

const UNFINISHED_CHUNKS = /\r\nTransfer-Encoding: chunked\r\n.*half of it\r\n$/s;

/** What comes until the connection ends, with the code of the error that ends it. */
const readToClose = async (socket: Socket): Promise<string> => {
  let answer = "";
  socket.on("data", (chunk) => (answer += chunk.toString()));
  socket.on("error", (err: NodeJS.ErrnoException) => (answer += ` ${err.code ?? ""}`));
  await new Promise((resolve) => socket.once("close", resolve));
  return answer;
};

describe("ForwardServer: every request gets an answer", () => {
  const fixture = useListener();

  // Requests within a configuration's raised header limit were cut off without an answer.
  it("takes headers up to the configuration's limit, also far above the default", async () => {
    const { harness } = fixture;
    harness.applyConfig(newConfig(2, { maxHeaderBytes: 100_000 }));
    const request = newRequest([`X-Note: ${"n".repeat(60_000)}`]);
    expect(getStatus(await harness.exchange(request))).to.equal(200);
  });

  // Callers saw a closed connection in place of an error that tells what is wrong.
  const refused: readonly [name: string, bytes: string, status: number][] = [
    ["headers over the listener's own limit", newRequest([`X-Note: ${"n".repeat(300_000)}`]), 431],
    ["a header without a colon", "POST /a/1 HTTP/1.1\r\nHost a.example\r\n\r\n", 400],
    ["a length that is no number", "POST /a/1 HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400],
    ["bytes that are no request", "\u0001\u0002\u0003\r\n\r\n", 400],
  ];
  for (const [name, bytes, status] of refused) {
    it(`answers ${name} with ${String(status)}`, async () => {
      expect(getStatus(await fixture.harness.exchange(bytes))).to.equal(status);
    });
  }

  // An error inside ended the connection without a word, though nothing had been sent.
  it("answers that a request didn't run when an error ends it before it is forwarded", async () => {
    const { harness } = fixture;
    harness.readHead = () => {
      throw new Error("unexpected");
    };
    const answer = await harness.exchange(newRequest([], "body"));
    expect(getStatus(answer)).to.equal(503);
    expect(answer).to.match(/\r\nRetry-After: /);
  });

  it("answers that a request may have run when an error ends it after it was forwarded", async () => {
    const { harness } = fixture;
    harness.forward = () => Promise.reject(new Error("unexpected"));
    const answer = await harness.exchange(newRequest([], "body"));
    expect(getStatus(answer)).to.equal(502);
    expect(answer).to.not.match(/\r\nRetry-After: /);
  });

  const late: readonly [name: string, bytes: string][] = [
    ["bytes that are no request", "\u0001\u0002\r\n\r\n"],
    ["headers over the limit", newRequest([`X-Note: ${"n".repeat(300_000)}`])],
  ];
  for (const [name, bytes] of late) {
    // A whole request lost its answer to what came behind it on the connection.
    it(`answers a request that is followed by ${name}, and then ends the connection`, async () => {
      const { harness } = fixture;
      harness.forward = async (_req, writer) => {
        await new Promise((resolve) => setTimeout(resolve, 50));
        writer.sendOwn(200, "answered");
      };
      const answer = await harness.exchange(`${newRequest()}${bytes}`);
      expect(getStatus(answer)).to.equal(200);
      expect(answer.match(/HTTP\/1.1/g)?.length).to.equal(1);
    });
  }

  // Half of an answer reached the caller as a complete success.
  const cuts: readonly [version: string, framing: string, seen: RegExp][] = [
    ["1.1", "in chunks", UNFINISHED_CHUNKS],
    ["1.0", "without a length", /half of it ECONNRESET$/],
  ];
  for (const [version, framing, seen] of cuts) {
    it(`tells a caller of HTTP/${version} that an answer ${framing} was cut`, async () => {
      const { harness } = fixture;
      harness.forward = async (_req, writer) => {
        writer.sendHead(200, []);
        writer.write(Buffer.from("half of it"));
        await new Promise((resolve) => setTimeout(resolve, 50));
        writer.abort();
      };
      const socket = await harness.connect();
      socket.write(newRequest().replace("HTTP/1.1", `HTTP/${version}`));
      expect(await readToClose(socket)).to.match(seen);
    });
  }

  // Callers of HTTP/1.0 that close their sending side during an answer took what they had for all of it.
  it("resets the connection of a caller that closes its sending side during an unframed answer", async () => {
    const { harness } = fixture;
    harness.forward = (_req, writer) => {
      writer.sendHead(200, []);
      writer.write(Buffer.from("half of it"));
      return new Promise(() => undefined);
    };
    const socket = await harness.connect();
    socket.write(newRequest().replace("HTTP/1.1", "HTTP/1.0"));
    socket.once("data", () => socket.end());
    expect(await readToClose(socket)).to.match(/half of it ECONNRESET$/);
  });

  // Only a framed answer lets a caller of HTTP/1.1 tell its end from that of the process.
  const wholes: readonly [version: string, seen: RegExp][] = [
    ["1.1", /Transfer-Encoding: chunked\r\n\r\n9\r\nall of it\r\n0\r\n\r\n/],
    ["1.0", /Connection: close\r\n\r\nall of it$/],
  ];
  for (const [version, seen] of wholes) {
    it(`ends a whole answer without a length for a caller of HTTP/${version}`, async () => {
      const { harness } = fixture;
      harness.forward = (_req, writer) => {
        writer.sendHead(200, []);
        writer.write(Buffer.from("all of it"));
        writer.end();
        return Promise.resolve();
      };
      const socket = await harness.connect();
      socket.write(newRequest(["Connection: close"]).replace("HTTP/1.1", `HTTP/${version}`));
      expect(await readToClose(socket)).to.match(seen);
    });
  }

  // The system closes the connections of a killed process in order, which ended the answer as if whole.
  it("tells a caller that an answer was cut when its process is killed", async () => {
    const child = fork(new URL("./testing/halfAnswerMain.js", import.meta.url));
    const [port] = (await once(child, "message")) as [number];
    const socket = connect(port, "127.0.0.1");
    socket.write(newRequest());
    socket.once("data", () => {
      child.kill("SIGKILL");
    });
    expect(await readToClose(socket)).to.match(UNFINISHED_CHUNKS);
  });

  const waits = [0, 600];
  for (const waitMs of waits) {
    // A caller that had sent its whole request and closed its sending side got no answer.
    it(`answers a caller that closed its sending side ${String(waitMs)} ms before`, async () => {
      const { harness } = fixture;
      harness.forward = async (_req, writer) => {
        await new Promise((resolve) => setTimeout(resolve, waitMs));
        writer.sendOwn(200, "answered");
      };
      expect(await harness.exchangeToEnd(newRequest([], "body"))).to.match(
        /^(HTTP\/1.1 100 Continue\r\n\r\n)*HTTP\/1.1 200/,
      );
    });
  }

  // A request of a caller that left would cost its engine the time until the deadline.
  it("ends the request of a caller that left, with its connection or its process", async () => {
    const { harness } = fixture;
    const endsMs: number[] = [];
    harness.forward = (req) =>
      new Promise((resolve) => {
        req.signal.addEventListener("abort", () => {
          endsMs.push(performance.now());
          resolve();
        });
      });
    for (const leave of ["destroy", "resetAndDestroy"] as const) {
      const socket = await harness.connect();
      socket.write(newRequest([], "body"));
      await new Promise((resolve) => setTimeout(resolve, 100));
      const leftMs = performance.now();
      socket[leave]();
      while (endsMs.length === 0) {
        await new Promise((resolve) => setTimeout(resolve, 5));
      }
      expect((endsMs.pop() ?? Infinity) - leftMs).to.be.below(400);
    }
  });

  // A pipelined request was forwarded, and the answer before it closed the connection.
  it("forwards no request behind an answer that ends the connection", async () => {
    const { harness } = fixture;
    const forwarded: string[] = [];
    harness.forward = async (req, writer) => {
      forwarded.push(req.head.path);
      await new Promise((resolve) => setTimeout(resolve, 20));
      writer.sendOwn(200, "answered");
    };
    harness.lifecycle.leave(performance.now(), { listenMs: 3_200, drainMs: 5_000, closeMs: 150 });
    const answer = await harness.exchange(`${newRequest()}${newRequest()}`);
    expect(answer.match(/HTTP\/1.1 200/g)?.length).to.equal(1);
    expect(forwarded.length).to.equal(1);
  });

  it("answers pipelined requests in order", async () => {
    const { harness } = fixture;
    let count = 0;
    harness.forward = (_req, writer) => {
      count += 1;
      writer.sendOwn(200, `answer ${String(count)}`);
      return Promise.resolve();
    };
    const answer = await harness.exchange(`${newRequest()}${newRequest()}${newRequest()}`);
    expect(answer.match(/answer \d/g)).to.deep.equal(["answer 1", "answer 2", "answer 3"]);
  });

  // A process ended its drain under requests whose bodies it was still receiving.
  it("counts a request as in progress from its head to its answer", async () => {
    const { harness } = fixture;
    const socket = await harness.connect();
    socket.write("POST /a/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nbo");
    while (harness.server.requests === 0) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    await new Promise((resolve) => {
      socket.once("data", resolve);
      socket.write("dy");
    });
    while (harness.server.requests > 0) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    socket.destroy();
  });

  it("survives any bytes", async () => {
    const { harness } = fixture;
    const piece = fc.oneof(
      fc.string({ maxLength: 200 }),
      fc.constantFrom("POST /a/1 HTTP/1.1\r\n", "Host: a.example\r\n", "\r\n\r\n", "Expect: x\r\n"),
      fc.constantFrom(
        "Transfer-Encoding: chunked\r\n",
        "Content-Length: 5\r\n",
        "GET // HTTP/1.1\r\n",
      ),
      fc.constantFrom(
        "CONNECT a:1 HTTP/1.1\r\n",
        "Upgrade: x\r\nConnection: upgrade\r\n",
        "ff\r\n",
      ),
    );
    const bytes = fc.array(piece, { maxLength: 12 }).map((pieces) => pieces.join(""));
    await fc.assert(
      fc.asyncProperty(bytes, async (text) => {
        const answer = await harness.exchangeToEnd(text);
        expect(answer === "" || /^HTTP\/1\.1 \d{3} /.test(answer)).to.equal(true);
      }),
      { seed: 1, numRuns: 300 },
    );
    expect(getStatus(await harness.exchange(newRequest()))).to.equal(200);
  });
});

describe("ForwardServer: idle connections", () => {
  const fixture = useListener();

  const answer = (socket: Socket): Promise<void> =>
    new Promise((resolve) => {
      socket.once("data", () => {
        resolve();
      });
      socket.write(newRequest());
    });
  const isOpenAfter = async (socket: Socket, ms: number): Promise<boolean> => {
    await new Promise((resolve) => setTimeout(resolve, ms));
    return !socket.destroyed && !socket.readableEnded;
  };

  // A connection that was idle when the limit was raised was closed by the old limit, while its caller sent.
  it("are kept for a limit that is raised while they are idle", async () => {
    const { harness } = fixture;
    harness.applyConfig(newConfig(2, { idleTimeoutMs: 10 }));
    const socket = await harness.connect();
    socket.resume();
    await answer(socket);
    harness.applyConfig(newConfig(3, { idleTimeoutMs: 20_000 }));
    expect(await isOpenAfter(socket, 3_500)).to.equal(true);
    socket.destroy();
  });

  it("are kept for the limit that their last answer announced when it is lowered", async () => {
    const { harness } = fixture;
    harness.applyConfig(newConfig(2, { idleTimeoutMs: 20_000 }));
    const socket = await harness.connect();
    socket.resume();
    await answer(socket);
    harness.applyConfig(newConfig(3, { idleTimeoutMs: 10 }));
    expect(await isOpenAfter(socket, 3_500)).to.equal(true);
    socket.destroy();
  });
});
