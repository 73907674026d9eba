import { createServer, type AddressInfo, type Server } from "node:net";

import { expect } from "chai";

import { HttpServiceClient, type ServiceCall } from "./ServiceClient.js";

const newAnswer = (body: string): string =>
  `HTTP/1.1 200 OK\r\nContent-Length: ${String(body.length)}\r\n\r\n${body}`;

/** Answers each request, on a connection in use again after a second copy of the answer before. */
const startRepeater = (): Promise<Server> => {
  const server = createServer((socket) => {
    let before = "";
    socket.on("error", () => undefined);
    socket.on("data", (data) => {
      const answer = newAnswer(/^GET \/(\S*)/.exec(data.toString())?.[1] ?? "");
      socket.write(before + answer);
      before = answer;
    });
  });
  return new Promise((resolve) => {
    server.listen(0, "127.0.0.1", () => {
      resolve(server);
    });
  });
};

/** Listens, and returns a client of the server. */
const startClient = async (server: Server): Promise<HttpServiceClient> => {
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const origin = `http://127.0.0.1:${String((server.address() as AddressInfo).port)}`;
  return new HttpServiceClient({ name: "s", origin });
};

const newCall = (): ServiceCall => ({
  ...{ method: "GET", path: "/", headers: {}, body: undefined, timeoutMs: 1_000 },
  signal: new AbortController().signal,
});

const ANSWER = { status: 200, body: "half of it" };

describe("ServiceClient", () => {
  // The next caller got the answer of another one, of which a late second copy arrived.
  it("never takes a second copy of an earlier answer for the answer to a request", async () => {
    const server = await startRepeater();
    const origin = `http://127.0.0.1:${String((server.address() as AddressInfo).port)}`;
    const client = new HttpServiceClient({ name: "s", origin });
    const bodies: string[] = [];
    for (const path of ["/first", "/second", "/third"]) {
      const call = { method: "GET", path, headers: {}, body: undefined, timeoutMs: 1_000 } as const;
      bodies.push((await client.call({ ...call, signal: new AbortController().signal })).body);
    }
    await client.close();
    server.close();
    expect(bodies).to.deep.equal(["first", "second", "third"]);
  });

  // An answer that broke off halfway was taken for a complete one.
  it("doesn't take an answer without a length whose connection is reset for a complete one", async () => {
    const server = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.once("data", () => {
        socket.write("HTTP/1.1 200 OK\r\n\r\nhalf of it", () => {
          setTimeout(() => {
            socket.resetAndDestroy();
          }, 20);
        });
      });
    });
    const client = await startClient(server);
    const result: unknown = await client.call(newCall()).catch((err: unknown) => err);
    await client.close();
    server.close();
    expect(result).to.include({ sent: true });
  });

  const ends: readonly [name: string, hasCrashed: boolean, seen: object][] = [
    [
      "takes the end of a connection for that of its answer while the service lives on",
      false,
      ANSWER,
    ],
    ["doesn't take the end of a service that crashes for that of its answer", true, { sent: true }],
  ];
  for (const [name, hasCrashed, seen] of ends) {
    // The connections of a process that ends are closed in order, as after a whole answer.
    it(name, async () => {
      const server = createServer((socket) => {
        socket.once("data", () => {
          if (hasCrashed) {
            server.close();
          }
          socket.end("HTTP/1.1 200 OK\r\n\r\nhalf of it");
        });
      });
      const client = await startClient(server);
      const result: unknown = await client.call(newCall()).catch((err: unknown) => err);
      await client.close();
      server.close();
      expect(result).to.include(seen);
    });
  }
});
