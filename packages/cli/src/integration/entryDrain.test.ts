import { createServer, type Server } from "node:http";
import { connect, type AddressInfo, type Socket } from "node:net";

import { VmRole, VmState, type Vm } from "@lycheepulley/core";
import { expect } from "chai";

import { SmallFleet } from "./SmallFleet.js";

const LOCALHOST = "127.0.0.1";
const TIMEOUT_MS = 20_000;
const KEEP_MS = 300;
const SERVICE_MS = 120;
/** Calls while the fates are appended, one connection each. */
const LOG_DELAY_MS = 400;
const FIRST_MS = KEEP_MS + 100;
const LAST_MS = FIRST_MS + LOG_DELAY_MS;
const STEP_MS = 10;
const LARGE_BYTES = 12_000_000;
const SLOW_READ_MS = 600;

const wait = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** One call on a connection that was opened before. */
class EarlyCall {
  readonly path: string;
  readonly #socket: Socket;
  readonly #text: string;
  answer = "";
  bytes = 0;
  readonly closed: Promise<unknown>;

  constructor(origin: string, path: string, body = "x") {
    this.path = path;
    this.#text = [
      ...[`POST /services/taller${path} HTTP/1.1`, "host: a", "authorization: Bearer key-nutibara"],
      ...[`content-length: ${String(body.length)}`, "", body],
    ].join("\r\n");
    this.#socket = connect(Number(new URL(origin).port), LOCALHOST);
    this.closed = new Promise((resolve) => this.#socket.once("close", resolve));
    this.#socket.on("error", () => undefined);
    this.#socket.on("data", (chunk: Buffer) => {
      this.answer = (this.answer + chunk.toString("latin1")).slice(0, 2_000);
      this.bytes += chunk.length;
    });
  }

  get length(): number {
    return this.#text.length;
  }

  send(from = 0, to = this.length): void {
    if (this.#socket.writable && !this.#socket.readableEnded) {
      this.#socket.write(this.#text.slice(from, to));
    }
  }

  pause(): void {
    this.#socket.pause();
  }

  resume(): void {
    this.#socket.resume();
  }

  get status(): number {
    return Number(/^HTTP\/1.1 (\d+)/.exec(this.answer)?.[1] ?? 0);
  }
}

describe("an entry process that is drained", function () {
  this.timeout(TIMEOUT_MS);
  let fleet: SmallFleet;
  let service: Server;
  const received = new Set<string>();

  const start = async (processes: number): Promise<void> => {
    fleet = new SmallFleet();
    await fleet.start(processes, { addressKeepMs: KEEP_MS });
    service = createServer((req, res) => {
      received.add(req.url ?? "");
      req.resume();
      setTimeout(() => {
        res.end(req.url?.startsWith("/large") ? Buffer.alloc(LARGE_BYTES, "x") : "done");
      }, SERVICE_MS);
    });
    await new Promise<void>((resolve) => service.listen(0, LOCALHOST, resolve));
    const vm: Vm = {
      ...{ id: "taller-own", role: VmRole.Service, pool: "taller", host: LOCALHOST },
      ...{ port: (service.address() as AddressInfo).port, failureDomain: "poblado" },
      state: VmState.Live,
    };
    await fleet.putVms([vm], ["taller-a"]);
    for (let index = 0; ; index += 1) {
      const call = newCall(`/probe${String(index)}`);
      call.send();
      while (call.status === 0) {
        await wait(STEP_MS);
      }
      if (received.has(call.path)) {
        return;
      }
    }
  };
  const newCall = (path: string, body?: string): EarlyCall =>
    new EarlyCall(fleet.origins[0] ?? "", path, body);

  beforeEach(() => {
    received.clear();
  });
  afterEach(async () => {
    await fleet.stop();
    service.closeAllConnections();
    service.close();
  });

  const uses: readonly { name: string; processes: number; sentBytes: number }[] = [
    { name: "whole requests", processes: 1, sentBytes: 0 },
    { name: "the rest of their heads", processes: 1, sentBytes: 30 },
    { name: "whole requests, beside another process", processes: 2, sentBytes: 0 },
    { name: "the rest of their bodies", processes: 1, sentBytes: -1 },
  ];
  for (const { name, processes, sentBytes } of uses) {
    // Requests were run in the last moments of a process, and their connections closed without an answer.
    it(`answers every request that it ran when ${name} come at the end`, async () => {
      await start(processes);
      const calls: EarlyCall[] = [];
      for (let atMs = FIRST_MS; atMs < LAST_MS; atMs += STEP_MS) {
        const call = newCall(`/at${String(atMs)}`);
        calls.push(call);
        call.send(0, sentBytes < 0 ? call.length + sentBytes : sentBytes);
      }
      await wait(KEEP_MS);
      setTimeout(() => {
        newCall("/last").send();
        void fleet.delayLog(LOG_DELAY_MS);
      }, KEEP_MS / 2);
      calls.forEach((call, index) => {
        setTimeout(
          () => {
            call.send(sentBytes < 0 ? call.length + sentBytes : sentBytes);
          },
          FIRST_MS + index * STEP_MS,
        );
      });
      await fleet.drain(0);
      await fleet.delayLog(0);
      await Promise.all(calls.map(({ closed }) => closed));
      const lost = calls.filter(({ path, status }) => received.has(path) && status === 0);
      expect(lost.map(({ path }) => path)).to.deep.equal([]);
      const statuses = new Set(calls.map(({ status }) => status));
      expect([200, 307, 503, 0]).to.include.members([...statuses]);
    });
  }

  // A caller that reads slowly got part of its answer: all connections were closed under it.
  it("sends the whole answer to a caller that reads it late", async () => {
    await start(1);
    const call = newCall("/large");
    call.send();
    call.pause();
    while (!received.has("/large")) {
      await wait(STEP_MS);
    }
    const ended = fleet.drain(0);
    await wait(SLOW_READ_MS);
    call.resume();
    await Promise.all([ended, call.closed]);
    expect(call.status).to.equal(200);
    expect(call.bytes).to.be.above(LARGE_BYTES);
  });
});
