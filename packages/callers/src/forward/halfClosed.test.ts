import { expect } from "chai";

import { FIRST_ANSWER_MS, getStatus, newRequest, useListener } from "./testing/ListenerHarness.js";

const SETTLE_MS = 150;

const CHUNKED = [
  ...["POST /a/1 HTTP/1.1", "Host: a.example", "Transfer-Encoding: chunked", ""],
  ...["4", "body", "0", "", ""],
].join("\r\n");

describe("ForwardServer: callers that close their side", function () {
  this.timeout(FIRST_ANSWER_MS);
  const fixture = useListener();

  const leaving: readonly [name: string, bytes: string, isReset: boolean][] = [
    ["closes its connection", newRequest([], "body"), false],
    ["closes its connection after a body in chunks", CHUNKED, false],
    ["resets its connection", newRequest([], "body"), true],
  ];
  for (const [name, bytes, isReset] of leaving) {
    // Requests ran for callers that had left before anyone read them.
    it(`forwards nothing for a caller that ${name} right behind its request`, async () => {
      const { harness } = fixture;
      let forwarded = 0;
      harness.forward = () => {
        forwarded += 1;
        return Promise.resolve();
      };
      const socket = await harness.connect();
      socket.on("error", () => undefined);
      socket.write(bytes);
      if (isReset) {
        socket.resetAndDestroy();
      } else {
        socket.destroy();
      }
      await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
      expect(forwarded).to.equal(0);
      expect(harness.server.requests).to.equal(0);
    });
  }

  // After a pause of the loop, in which a process may have been frozen, requests ran for callers that had left.
  it("forwards nothing for a caller that closes a kept connection right behind its request", async () => {
    const { harness } = fixture;
    let forwarded = 0;
    harness.forward = (_req, writer) => {
      forwarded += 1;
      writer.sendOwn(200, "answered");
      return Promise.resolve();
    };
    const socket = await harness.connect();
    socket.write(newRequest([], "body"));
    await new Promise((resolve) => socket.once("data", resolve));
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
    socket.write(newRequest([], "body"));
    socket.destroy();
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
    expect(forwarded).to.equal(1);
  });

  /** Keeps the loop busy, so that it reads a request without a pause before. */
  const keepBusy = (): (() => void) => {
    let isBusy = true;
    const turn = (): void => {
      if (isBusy) {
        setImmediate(turn);
      }
    };
    turn();
    return () => {
      isBusy = false;
    };
  };

  const together: readonly [name: string, bytes: string][] = [
    ["a request", newRequest([], "body")],
    ["a body in chunks", CHUNKED],
    ["a request without a body", newRequest([], "")],
  ];
  for (const [name, bytes] of together) {
    // Requests ran whose caller's reset came in the same turn, which looks like an orderly end.
    it(`forwards nothing for ${name} that comes together with a reset on a kept connection`, async () => {
      const { harness } = fixture;
      let forwarded = 0;
      harness.forward = (_req, writer) => {
        forwarded += 1;
        writer.sendOwn(200, "answered");
        return Promise.resolve();
      };
      const socket = await harness.connect();
      const rest = keepBusy();
      socket.write(newRequest([], "body"));
      await new Promise((resolve) => socket.once("data", resolve));
      await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
      socket.write(bytes);
      socket.resetAndDestroy();
      await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
      rest();
      expect(forwarded).to.equal(1);
      expect(harness.server.requests).to.equal(0);
    });

    it(`answers ${name} that comes together with an orderly end on a kept connection`, async () => {
      const { harness } = fixture;
      const socket = await harness.connect();
      const rest = keepBusy();
      socket.write(newRequest([], "body"));
      await new Promise((resolve) => socket.once("data", resolve));
      await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
      let answer = "";
      socket.on("data", (chunk) => (answer += chunk.toString()));
      socket.end(bytes);
      await new Promise((resolve) => socket.once("end", resolve));
      rest();
      expect(getStatus(answer.replace(/^(HTTP\/1\.1 100 [^\r]*\r\n\r\n)+/, ""))).to.equal(200);
    });
  }

  // A caller that only stops sending still waits for its answer.
  const halfClosing: readonly [name: string, bytes: string][] = [
    ["a request", newRequest([], "body")],
    ["a body in chunks", CHUNKED],
  ];
  for (const [name, bytes] of halfClosing) {
    it(`answers one that closes its sending side behind ${name}`, async () => {
      const { harness } = fixture;
      const socket = await harness.connect();
      let answer = "";
      socket.on("data", (chunk) => (answer += chunk.toString()));
      socket.end(bytes);
      await new Promise((resolve) => socket.once("end", resolve));
      expect(getStatus(answer.replace(/^(HTTP\/1\.1 100 [^\r]*\r\n\r\n)+/, ""))).to.equal(200);
    });
  }
});

describe("ForwardServer: requests that come later than their connection", function () {
  this.timeout(FIRST_ANSWER_MS);
  const fixture = useListener();

  const pauses: readonly [name: string, firstBytes: number][] = [
    ["all of it", 0],
    ["the rest of its head", 10],
    ["its body", newRequest([], "body").length - "body".length],
  ];
  for (const [name, firstBytes] of pauses) {
    // The age of a connection counted as the wait of its request, which was rejected as overload.
    it(`serves a request when ${name} comes late`, async () => {
      const { harness } = fixture;
      const socket = await harness.connect();
      const bytes = newRequest([], "body");
      socket.write(bytes.slice(0, firstBytes));
      await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
      const answer = new Promise<Buffer>((resolve) => socket.once("data", resolve));
      socket.write(bytes.slice(firstBytes));
      expect(getStatus((await answer).toString())).to.equal(200);
      socket.destroy();
    });
  }
});
