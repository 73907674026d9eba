import { connect, type Socket } from "node:net";

import {
  OverloadControl,
  ProcessLifecycle,
  SystemClock,
  SystemRandom,
  type Fate,
} from "@lycheepulley/core";
import { newSilentLogger } from "@lycheepulley/telemetry";
import { expect } from "chai";

import { CallerServer } from "./CallerServer.js";

const LOCALHOST = "127.0.0.1";
const SETTLE_MS = 100;
const BLOCK_MS = 120;
const BODY = "body";
const REQUEST = [
  ...["POST /services/letters/send HTTP/1.1", "host: a", `content-length: ${String(BODY.length)}`],
  ...["", BODY],
].join("\r\n");

const wait = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** Holds the event loop up, as work before a request does. */
const block = (ms: number): void => {
  const endMs = performance.now() + ms;
  while (performance.now() < endMs) {
    // Nothing else runs meanwhile.
  }
};

describe("CallerServer: requests that have waited before they are read", () => {
  let server: CallerServer;
  let runs: number;
  let isSlow: boolean;

  beforeEach(async () => {
    [runs, isSlow] = [0, false];
    const load = new OverloadControl({ clock: new SystemClock(), random: new SystemRandom() });
    server = new CallerServer(
      {
        authenticate: () => {
          block(isSlow ? BLOCK_MS : 0);
          return "c";
        },
        getRedirectAddress: () => undefined,
        accept: () => ({
          requestId: "req_p.1.1.1",
          runPrompt: () => Promise.reject(new Error("not expected")),
          runService: () => {
            runs += 1;
            const outcome = { status: 200, contentType: "text/plain", body: "", isReplay: false };
            return Promise.resolve(outcome);
          },
          reject: () => undefined,
        }),
        ...{ maxBodyBytes: 100, isFull: false, listModels: () => [] },
        getAddresses: () => ({ addresses: [], keepMs: 0 }),
        fetchFate: () => Promise.resolve<Fate | undefined>(undefined),
        getMetrics: () => Promise.resolve(""),
      },
      {
        ...{ clock: new SystemClock(), lifecycle: new ProcessLifecycle(), load },
        logger: newSilentLogger(),
      },
    );
    await server.listen(LOCALHOST, 0);
  });
  afterEach(() => server.close());

  // Requests ran for callers that had left before anyone read them.
  it("runs nothing for a caller that closes its connection right behind its request", async () => {
    const socket = connect(server.port, LOCALHOST);
    socket.on("error", () => undefined);
    await new Promise((resolve) => socket.once("connect", resolve));
    socket.write(REQUEST);
    socket.destroy();
    await wait(SETTLE_MS);
    expect(runs).to.equal(0);
  });

  const leaving: readonly [name: string, leave: (socket: Socket) => void, runs: number][] = [
    // Requests ran whose caller's reset came in the same turn, which looks like an orderly end.
    ["nothing for a request that comes together with a reset", (to) => to.resetAndDestroy(), 1],
    ["a request on an open connection", () => undefined, 2],
  ];
  for (const [name, leave, expected] of leaving) {
    it(`runs ${name} on a kept connection of a busy loop`, async () => {
      const socket = connect(server.port, LOCALHOST);
      socket.on("error", () => undefined);
      await new Promise((resolve) => socket.once("connect", resolve));
      let isBusy = true;
      const turn = (): void => {
        if (isBusy) {
          setImmediate(turn);
        }
      };
      turn();
      socket.write(REQUEST);
      await new Promise((resolve) => socket.once("data", resolve));
      await wait(SETTLE_MS);
      socket.write(REQUEST);
      leave(socket);
      await wait(SETTLE_MS);
      isBusy = false;
      socket.destroy();
      expect(runs).to.equal(expected);
    });
  }

  // Requests were taken in whatever they had waited.
  it("rejects those that waited for a turn of its event loop, and says when to return", async () => {
    const sockets = Array.from({ length: 3 }, () => connect(server.port, LOCALHOST));
    await Promise.all(
      sockets.map((socket) => new Promise((resolve) => socket.once("connect", resolve))),
    );
    await wait(SETTLE_MS);
    const answers = sockets.map(
      (socket) =>
        new Promise<string>((resolve) => {
          socket.once("data", (chunk: Buffer) => {
            resolve(chunk.toString());
          });
        }),
    );
    // All are ready in one turn, and the first takes long.
    isSlow = true;
    sockets.forEach((socket) => socket.write(REQUEST));
    const statuses = (await Promise.all(answers)).map((text) => text.slice(9, 12));
    sockets.forEach((socket) => socket.destroy());
    expect(statuses).to.deep.equal(["200", "429", "429"]);
    expect(runs).to.equal(1);
    const texts = await Promise.all(answers);
    texts
      .filter((text) => text.startsWith("HTTP/1.1 429"))
      .forEach((text) => {
        expect(text).to.match(/\r\nretry-after: \d/i);
        expect(text).to.match(/"verdict":"refused_until"/);
      });
  });
});
