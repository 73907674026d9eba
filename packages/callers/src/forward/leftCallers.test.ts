import { connect, createServer, type AddressInfo, type Socket } from "node:net";

import { expect } from "chai";

import {
  FIRST_ANSWER_MS,
  newRequest,
  useListener,
  type ListenerHarness,
} from "./testing/ListenerHarness.js";

const SETTLE_MS = 150;
const PAUSE_MS = 50;
/** Longer than a caller may be gone unseen. */
const FREEZE_MS = 300;
/** Connections that come in turns of this length for longer than a pause of reading. */
const CONNECTIONS = 100;
const SLOW_TURN_MS = 3;

const PATH = "/a/1";
const OTHER = newRequest([], "body").replace(PATH, "/a/2");

const wait = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** Holds the event loop up, as a freeze of the process does. */
const block = (ms: number): void => {
  const endMs = performance.now() + ms;
  while (performance.now() < endMs) {
    // Nothing else runs meanwhile.
  }
};

/** Sends a request, and leaves before anyone reads it. */
const leave = (socket: Socket): void => {
  socket.write(newRequest([], "body"));
  socket.destroy();
};

const connectKept = async (harness: ListenerHarness): Promise<Socket> => {
  const socket = await harness.connect();
  socket.write(OTHER);
  await new Promise((resolve) => socket.once("data", resolve));
  await wait(PAUSE_MS);
  return socket;
};

/** Calls `fn` in a turn that fetched `other`'s request already, before it is read. */
const runBeforeReading = async (other: Socket, fn: () => void): Promise<void> => {
  const server = createServer((socket) => socket.once("data", fn));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const trigger = connect((server.address() as AddressInfo).port, "127.0.0.1");
  await new Promise((resolve) => trigger.once("connect", resolve));
  await wait(PAUSE_MS);
  trigger.write("now");
  other.write(OTHER);
  await wait(SETTLE_MS);
  trigger.destroy();
  server.close();
};

/** Connections come faster than they are accepted, so that others aren't read meanwhile. */
const leaveInReadingPauses = async (harness: ListenerHarness, socket: Socket): Promise<void> => {
  let isSlow = true;
  const slowDown = (): void => {
    block(SLOW_TURN_MS);
    if (isSlow) {
      setImmediate(slowDown);
    }
  };
  const others = Array.from({ length: CONNECTIONS }, () => connect(harness.port, "127.0.0.1"));
  others.forEach((other) => other.on("error", () => undefined));
  slowDown();
  await wait(PAUSE_MS);
  leave(socket);
  await wait(CONNECTIONS * SLOW_TURN_MS);
  isSlow = false;
  others.forEach((other) => other.destroy());
};

describe("ForwardServer: callers that left before their request was read on a kept connection", function () {
  this.timeout(FIRST_ANSWER_MS);
  const fixture = useListener();

  const cases: readonly [
    name: string,
    run: (harness: ListenerHarness, socket: Socket, other: Socket) => Promise<void> | void,
  ][] = [
    [
      "after a long turn",
      (_harness, socket) => {
        leave(socket);
        block(FREEZE_MS);
      },
    ],
    [
      "after a pause of the loop",
      async (_harness, socket) => {
        await wait(FREEZE_MS);
        leave(socket);
      },
    ],
    [
      "after a freeze in the middle of a turn",
      (_harness, socket, other) =>
        runBeforeReading(other, () => {
          leave(socket);
          block(FREEZE_MS);
        }),
    ],
    ["between pauses of reading", leaveInReadingPauses],
  ];
  for (const [name, run] of cases) {
    // Requests ran seconds after their callers had left in a freeze of the process.
    it(`forwards nothing for one whose request is read ${name}`, async () => {
      const { harness } = fixture;
      const paths: string[] = [];
      harness.forward = ({ head }, writer) => {
        paths.push(head.path);
        writer.sendOwn(200, "answered");
        return Promise.resolve();
      };
      const socket = await connectKept(harness);
      const other = await connectKept(harness);
      await run(harness, socket, other);
      await wait(SETTLE_MS);
      other.destroy();
      expect(paths).to.include("/a/2").and.not.include(PATH);
    });
  }
});

describe("ForwardServer: callers of requests that wait when their process is frozen", function () {
  this.timeout(FIRST_ANSWER_MS);
  const fixture = useListener();

  const cases: readonly [
    name: string,
    options: { isHalfClosed: boolean; leave: (socket: Socket) => void; isGone: boolean },
  ][] = [
    ["close", { isHalfClosed: false, leave: (socket) => socket.destroy(), isGone: true }],
    ["reset", { isHalfClosed: false, leave: (socket) => socket.resetAndDestroy(), isGone: true }],
    ["stay", { isHalfClosed: false, leave: () => undefined, isGone: false }],
    [
      "close, having closed their sending side before",
      { isHalfClosed: true, leave: (socket) => socket.destroy(), isGone: true },
    ],
    [
      "stay, having closed their sending side before",
      { isHalfClosed: true, leave: () => undefined, isGone: false },
    ],
  ];
  for (const [name, { isHalfClosed, leave: leaveSocket, isGone }] of cases) {
    // Requests that had been read before a freeze were sent after it, whoever had left meanwhile.
    it(`are asked again before anything is sent: they ${name}`, async () => {
      const { harness } = fixture;
      const socket = await harness.connect();
      socket.resume();
      const seen = new Promise<(boolean | undefined)[]>((resolve) => {
        harness.forward = async ({ confirmCaller, signal }, writer) => {
          const early = confirmCaller?.();
          leaveSocket(socket);
          block(FREEZE_MS);
          const confirmed = confirmCaller?.();
          await confirmed;
          resolve([early === undefined, confirmed !== undefined, signal.aborted]);
          writer.sendOwn(200, "answered");
        };
      });
      socket.write(newRequest([], "body"));
      if (isHalfClosed) {
        socket.end();
      }
      expect(await seen).to.deep.equal([true, true, isGone]);
      socket.destroy();
    });
  }

  // The first of two sends that asked at once was never made: only the second one was told.
  it("are asked for each of two sends at once", async () => {
    const { harness } = fixture;
    const socket = await harness.connect();
    socket.resume();
    const told: string[] = [];
    const forwarded = new Promise<void>((resolve) => {
      harness.forward = async ({ confirmCaller }, writer) => {
        for (const send of ["first", "second"]) {
          block(FREEZE_MS);
          void confirmCaller?.()?.then(() => told.push(send));
        }
        await wait(SETTLE_MS);
        writer.sendOwn(200, "answered");
        resolve();
      };
    });
    socket.write(newRequest([], "body"));
    socket.end();
    await forwarded;
    expect(told).to.have.members(["first", "second"]);
    socket.destroy();
  });
});
