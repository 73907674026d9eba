import { createServer, type AddressInfo, type Server, type Socket } from "node:net";

import { AnswerEnd } from "@lycheepulley/core";
import { expect } from "chai";

import { HttpUpstreamTransport } from "./HttpUpstreamTransport.js";

const LOCALHOST = "127.0.0.1";
const OK = "HTTP/1.1 200 OK\r\n";
const EARLY = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
const CHUNKED = "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
const KB = 1_024;
/** Half the time for which the process of both sides is blocked. */
const BLOCKED_MS = 40;

const block = (): void => {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, BLOCKED_MS);
};

const ANSWERS: readonly {
  name: string;
  text: string;
  isFramed: boolean;
  /** Its head isn't taken at all. */
  isRefused?: boolean;
  method?: string;
}[] = [
  { name: "no framing", text: `${OK}\r\nabc`, isFramed: false },
  { name: "no framing and no body", text: `${OK}\r\n`, isFramed: false },
  { name: "no framing in HTTP/1.0", text: "HTTP/1.0 200 OK\r\n\r\nabc", isFramed: false },
  { name: "no framing and status 500", text: "HTTP/1.1 500 No\r\n\r\nabc", isFramed: false },
  {
    name: "a transfer coding that isn't chunked",
    text: `${OK}Transfer-Encoding: gzip\r\n\r\nabc`,
    isFramed: false,
    isRefused: true,
  },
  { name: "no framing behind an early answer", text: `${EARLY}${OK}\r\nabc`, isFramed: false },
  { name: "a length", text: `${OK}Content-Length: 3\r\n\r\nabc`, isFramed: true },
  { name: "a length of 0", text: `${OK}Content-Length: 0\r\n\r\n`, isFramed: true },
  { name: "chunks behind an early answer", text: `${EARLY}${OK}${CHUNKED}`, isFramed: true },
  { name: "chunks", text: `${OK}${CHUNKED}`, isFramed: true },
  { name: "status 204", text: "HTTP/1.1 204 No Content\r\n\r\n", isFramed: true },
  { name: "status 304", text: "HTTP/1.1 304 Not Modified\r\n\r\n", isFramed: true },
  { name: "an answer to HEAD", text: `${OK}\r\n`, isFramed: true, method: "HEAD" },
];

const CLOSINGS: readonly {
  name: string;
  isReset: boolean;
  close: (socket: Socket, text: string) => void;
}[] = [
  { name: "in order", isReset: false, close: (socket, text) => socket.end(text) },
  {
    name: "in order later",
    isReset: false,
    close: (socket, text) => {
      socket.write(text);
      setTimeout(() => socket.end(), 10);
    },
  },
  {
    name: "by a reset later",
    isReset: true,
    close: (socket, text) => {
      socket.write(text);
      setTimeout(() => socket.resetAndDestroy(), 10);
    },
  },
  {
    name: "by a reset together with its data",
    isReset: true,
    close: (socket, text) => {
      socket.write(text);
      socket.resetAndDestroy();
    },
  },
  {
    name: "by a reset while the reader's process is blocked",
    isReset: true,
    close: (socket, text) => {
      socket.write(text);
      block();
      socket.resetAndDestroy();
      block();
    },
  },
];

const READERS: readonly { name: string; bodyBytes: number; pauseMs: number }[] = [
  { name: "an upload of 10 bytes", bodyBytes: 10, pauseMs: 0 },
  { name: "an upload of 10 KB", bodyBytes: 10 * KB, pauseMs: 0 },
  { name: "an upload of 3 MB that isn't read", bodyBytes: 3 * KB * KB, pauseMs: 0 },
  { name: "a reader that pauses", bodyBytes: 10, pauseMs: 30 },
  { name: "a reader that pauses during its upload", bodyBytes: 3 * KB * KB, pauseMs: 30 },
];

describe("ends of upstreams' answers", () => {
  let server: Server;
  let onRequest: (socket: Socket) => void;

  beforeEach((done) => {
    server = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.once("data", () => {
        socket.pause();
        onRequest(socket);
      });
    });
    server.listen(0, LOCALHOST, done);
  });
  afterEach(() => {
    server.close();
  });

  /** Resolves with the end that the transport reports. */
  const send = (method: string, bodyBytes: number, pauseMs: number): Promise<string> =>
    new Promise((resolve) => {
      const call = new HttpUpstreamTransport().open(
        {
          ...{ host: LOCALHOST, port: (server.address() as AddressInfo).port, method, path: "/" },
          headers: ["Host", "a.example", "Content-Length", String(bodyBytes)],
          ...{ body: Buffer.alloc(bodyBytes), connectTimeoutMs: 5_000 },
        },
        {
          onHead: () => {
            if (pauseMs > 0) {
              call.pause();
              setTimeout(() => {
                call.resume();
              }, pauseMs);
            }
          },
          onData: () => undefined,
          onEnd: ({ end }) => {
            resolve(end);
          },
          onError: () => {
            resolve(AnswerEnd.Cut);
          },
        },
      );
    });

  for (const { name: closing, isReset, close } of CLOSINGS) {
    for (const { name: reader, bodyBytes, pauseMs } of READERS) {
      // A part was told as a whole answer when its upstream's reset came together with data.
      it(`are told by framing and closing: ${closing}, ${reader}`, async () => {
        const ends: Record<string, string> = {};
        const expected: Record<string, string> = {};
        for (const { name, text, isFramed, isRefused = false, method = "POST" } of ANSWERS) {
          onRequest = (socket) => {
            close(socket, text);
          };
          ends[name] = await send(method, bodyBytes, pauseMs);
          const unframed = isReset || isRefused ? AnswerEnd.Cut : AnswerEnd.Unknown;
          expected[name] = isFramed ? AnswerEnd.Whole : unframed;
        }
        expect(ends).to.deep.equal(expected);
      });
    }
  }
});
