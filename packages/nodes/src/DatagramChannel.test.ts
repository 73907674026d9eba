import { once } from "node:events";
import { createSocket } from "node:dgram";

import { sleep, SystemClock } from "@lycheepulley/core";
import { expect } from "chai";
import { z } from "zod";

import { DatagramChannel } from "./DatagramChannel.js";

const WAIT_MS = 300;
const schema = z.object({ n: z.number() });

const findFreePort = async (): Promise<number> => {
  const socket = createSocket("udp4").bind(0, "127.0.0.1");
  await once(socket, "listening");
  const { port } = socket.address();
  socket.close();
  await once(socket, "close");
  return port;
};

describe("DatagramChannel", () => {
  let port = 0;
  let received: number[] = [];
  let errors: string[] = [];
  let channel: DatagramChannel;

  beforeEach(async () => {
    port = await findFreePort();
    received = [];
    errors = [];
    channel = new DatagramChannel({
      onError: (host, reason) => {
        errors.push(`${host}: ${reason}`);
      },
    });
    channel.handle("count", schema, ({ n }) => {
      received.push(n);
    });
    await channel.listen("127.0.0.1", port);
  });

  afterEach(() => {
    channel.close();
  });

  for (const host of ["127.0.0.1", "localhost"]) {
    it(`delivers a notification to ${host}`, async () => {
      channel.notify("count", { n: 1 }, [host]);
      await sleep(new SystemClock(), WAIT_MS);
      expect({ received, errors }).to.deep.equal({ received: [1], errors: [] });
    });
  }

  // Guards against a newer build's messages that fill the logs of an older one, or end it.
  it("reports each kind of message that it doesn't know once, and goes on", async () => {
    for (const method of ["newer", "newer", "newest", "newer"]) {
      channel.notify(method, { n: 1 }, ["127.0.0.1"]);
    }
    channel.notify("count", { n: 2 }, ["127.0.0.1"]);
    await sleep(new SystemClock(), WAIT_MS);
    expect(received).to.deep.equal([2]);
    expect(errors.sort()).to.deep.equal([
      "127.0.0.1: unknown method newer",
      "127.0.0.1: unknown method newest",
    ]);
  });

  const cases = [
    { name: "isn't JSON", text: "{", reason: "not JSON" },
    { name: "is null", text: "null", reason: "not a JSON-RPC notification" },
    { name: "has no version", text: '{"method":"count"}', reason: "not a JSON-RPC notification" },
    { name: "has no method", text: '{"jsonrpc":"2.0"}', reason: "not a JSON-RPC notification" },
    {
      ...{ name: "has a method of another type", reason: "not a JSON-RPC notification" },
      text: '{"jsonrpc":"2.0","method":1}',
    },
    {
      ...{ name: "has wrong parameters", reason: "count: " },
      text: '{"jsonrpc":"2.0","method":"count","params":{"n":"1"}}',
    },
  ];
  for (const { name, text, reason } of cases) {
    it(`drops and reports a message that ${name}`, async () => {
      const sender = createSocket("udp4");
      sender.send(text, port, "127.0.0.1");
      await sleep(new SystemClock(), WAIT_MS);
      sender.close();
      expect(received).to.deep.equal([]);
      expect(errors.length).to.equal(1);
      expect(errors[0]).to.include(reason);
    });
  }
});
