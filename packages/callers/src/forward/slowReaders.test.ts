import { expect } from "chai";

import { FIRST_ANSWER_MS, getStatus, newRequest, useListener } from "./testing/ListenerHarness.js";

/** An answer far above what sockets take at once and what the listener may hold. */
const UNREAD_BYTES = 96 * 1_048_576;
const CHUNK_BYTES = 65_536;
const HELD_LIMIT_BYTES = 64_000_000;
/** More than the buffers of a connection take, and less than a process may hold. */
const ANSWER_BYTES = 16_000_000;
/** Time after which a caller that takes nothing counts as slow, with a margin. */
const SLOW_MS = 700;

const waitFor = async (isDone: () => boolean): Promise<void> => {
  while (!isDone()) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
};

describe("ForwardServer: callers that read slowly", () => {
  const fixture = useListener();

  // Guards against a process that is killed for the memory that unread answers take.
  it("load: ends one that leaves more than the process may hold, for a request that comes", async function () {
    this.timeout(FIRST_ANSWER_MS);
    const { harness } = fixture;
    harness.forward = (req, writer) => {
      if (req.body.length === 0) {
        writer.sendHead(200, ["Content-Length", String(UNREAD_BYTES)]);
        writer.write(Buffer.alloc(UNREAD_BYTES));
      } else {
        writer.sendOwn(200, "answered");
      }
      return Promise.resolve();
    };
    const slow = await harness.connect();
    slow.pause();
    slow.write(newRequest());
    await new Promise((resolve) => setTimeout(resolve, SLOW_MS));
    expect(harness.server.held.bytes).to.be.above(HELD_LIMIT_BYTES);
    expect(getStatus(await harness.exchange(newRequest([], "body")))).to.equal(200);
    expect(harness.server.held.bytes).to.equal(0);
    slow.destroy();
  });

  it("counts nothing for requests behind an unanswered one once their connection is gone", async () => {
    const { harness } = fixture;
    harness.forward = () => new Promise(() => undefined);
    const socket = await harness.connect();
    socket.write(newRequest().repeat(20));
    await waitFor(() => harness.server.requests === 20);
    socket.destroy();
    await waitFor(() => harness.server.requests === 0);
    expect(harness.server.held.requests).to.equal(0);
  });

  it("pauses an upstream once its caller leaves some of the answer, and goes on when it reads", async function () {
    this.timeout(FIRST_ANSWER_MS);
    const { harness } = fixture;
    let written = 0;
    harness.forward = (_req, writer) => {
      writer.sendHead(200, ["Content-Length", String(UNREAD_BYTES)]);
      const chunk = Buffer.alloc(CHUNK_BYTES);
      const write = (): void => {
        while (written < UNREAD_BYTES) {
          written += chunk.length;
          if (!writer.write(chunk)) {
            writer.onDrain(write);
            return;
          }
        }
        writer.end();
      };
      write();
      return Promise.resolve();
    };
    const slow = await harness.connect();
    slow.pause();
    slow.write(newRequest());
    await new Promise((resolve) => setTimeout(resolve, SLOW_MS));
    expect(written).to.be.below(UNREAD_BYTES);
    expect(harness.server.held.bytes).to.be.below(1_000_000);
    slow.resume();
    while (written < UNREAD_BYTES || harness.server.held.bytes > 0) {
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    slow.destroy();
  });

  // The end of a drain closed connections whose answers weren't on their way yet, as idle ones.
  it("get the rest of a whole answer although the listener closes", async () => {
    const { harness } = fixture;
    harness.forward = (_req, writer) => {
      writer.sendHead(200, ["Content-Length", String(ANSWER_BYTES)]);
      writer.write(Buffer.alloc(ANSWER_BYTES));
      writer.end();
      return Promise.resolve();
    };
    const slow = await harness.connect();
    slow.pause();
    slow.write(newRequest());
    await new Promise((resolve) => setTimeout(resolve, SLOW_MS));
    harness.server.close();
    let bytes = 0;
    slow.on("data", (chunk) => (bytes += chunk.length));
    slow.resume();
    await waitFor(() => bytes >= ANSWER_BYTES || slow.destroyed);
    expect(bytes).to.be.at.least(ANSWER_BYTES);
    slow.destroy();
  });
});
