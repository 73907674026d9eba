import { createServer, type AddressInfo, type Server } from "node:net";

import { isPeerError } from "@lycheepulley/core";
import { expect } from "chai";

import { HttpServiceClient } from "./ServiceClient.js";

const LOCALHOST = "127.0.0.1";
const OK = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
const LENGTH = `${OK}Content-Length: 4\r\n\r\n`;
const CHUNKED = `${OK}Transfer-Encoding: chunked\r\n\r\n`;

/** Answers as Latin-1, and the body that callers may get of each; undefined for none. */
const CASES: readonly [name: string, answer: string, body: string | undefined][] = [
  ["a length", `${LENGTH}abcd`, "abcd"],
  ["chunks", `${CHUNKED}2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n`, "abcd"],
  ["characters of two bytes", `${LENGTH}\xc4\x87cd`, "ćcd"],
  ["bytes behind a length", `${LENGTH}abcdgarbage`, "abcd"],
  ["an answer behind a length", `${LENGTH}abcd${LENGTH}efgh`, "abcd"],
  ["bytes behind the last chunk", `${CHUNKED}4\r\nabcd\r\n0\r\n\r\n\x80\xffgarbage`, "abcd"],
  ["bytes in place of a size", `${CHUNKED}2\r\nab\r\n\x80\xffgarbage`, undefined],
  [
    "a long size in place of a size",
    `${CHUNKED}2\r\nab\r\nfffff\r\ngarbage\r\n0\r\n\r\n`,
    undefined,
  ],
  ["16 digits", `${CHUNKED}2\r\nab\r\n000000000000ffff\r\ngarbage\r\n0\r\n\r\n`, undefined],
  ["a chunk longer than its size", `${CHUNKED}2\r\nab\r\n2\r\ncdgarbage\r\n0\r\n\r\n`, undefined],
  ["a chunk shorter than its size", `${CHUNKED}2\r\nab\r\n4\r\ncd\r\n0\r\n\r\n`, undefined],
  ["no last chunk", `${CHUNKED}2\r\nab\r\n2\r\ncd\r\n`, undefined],
  ["bytes in place of the head", "\x80\xffgarbage\r\n\r\nabcd", undefined],
  ["bytes that are no text", `${LENGTH}\x80\xffcd`, undefined],
  ["a byte order mark", `${OK}Content-Length: 7\r\n\r\n\xef\xbb\xbfabcd`, "\ufeffabcd"],
];

describe("garbage in services' answers", () => {
  let server: Server;
  let bytes: Buffer;

  beforeEach((done) => {
    server = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.once("data", () => {
        socket.end(bytes);
      });
    });
    server.listen(0, LOCALHOST, done);
  });
  afterEach(() => {
    server.close();
  });

  for (const [name, answer, body] of CASES) {
    // Callers got bytes of a service's answer that it hadn't sent as such.
    it(`${body === undefined ? "refuses" : "takes"} ${name}`, async () => {
      bytes = Buffer.from(answer, "latin1");
      const { port } = server.address() as AddressInfo;
      const client = new HttpServiceClient({
        ...{ name: "s", origin: `http://${LOCALHOST}:${String(port)}` },
      });
      const call = { method: "POST", path: "/", headers: {}, body: undefined } as const;
      const signal = new AbortController().signal;
      const got = await client
        .call({ ...call, timeoutMs: 1_000, signal })
        .catch((err: unknown) => err);
      await client.close();
      if (body === undefined) {
        expect(isPeerError(got) && got.sent, JSON.stringify(got)).to.equal(true);
      } else {
        expect(got).to.include({ status: 200, body });
      }
    });
  }
});
