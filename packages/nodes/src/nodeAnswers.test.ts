import { createServer, type AddressInfo, type Server, type Socket } from "node:net";

import { PeerError } from "@lycheepulley/core";
import { expect } from "chai";
import { z } from "zod";

import { NodeClient } from "./NodeClient.js";

const LOCALHOST = "127.0.0.1";
const OK = "HTTP/1.1 200 OK\r\n";
const JSON_TEXT = '{"jsonrpc":"2.0","id":1,"result":12}';
const METHOD = { name: "m", params: z.unknown(), result: z.number() };

const frame = (text: string): string =>
  `${OK}Content-Length: ${String(text.length)}\r\n\r\n${text}`;
const CASES: readonly [name: string, text: string, isWhole: boolean][] = [
  ["a length", frame(JSON_TEXT), true],
  ["no framing", `${OK}\r\n${JSON_TEXT}`, true],
  ["no framing and a part", `${OK}\r\n${JSON_TEXT.slice(0, -1)}`, false],
  ["no framing and no body", `${OK}\r\n`, false],
  ["a length and a part", frame(JSON_TEXT).slice(0, -1), false],
  ["text that is no JSON", frame("oh"), false],
  ["JSON that is no answer", frame("12"), false],
  ["an error status and a part", "HTTP/1.1 500 No\r\n\r\n{", false],
];

const CLOSINGS: readonly [name: string, close: (socket: Socket, text: string) => void][] = [
  ["an orderly end", (socket, text) => socket.end(text)],
  [
    "a reset with the data",
    (socket, text) => {
      socket.write(text);
      socket.resetAndDestroy();
    },
  ],
];

describe("NodeClient: ends of answers", () => {
  let server: Server;
  let onRequest: (socket: Socket) => void;

  beforeEach((done) => {
    server = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.once("data", () => {
        onRequest(socket);
      });
    });
    server.listen(0, LOCALHOST, done);
  });
  afterEach(() => {
    server.close();
  });

  for (const [closing, close] of CLOSINGS) {
    for (const [name, text, isWhole] of CASES) {
      // A part of an answer must be an error after which the call may have run.
      it(`${isWhole ? "take" : "don't take"} an answer: ${name}, ${closing}`, async () => {
        onRequest = (socket) => {
          close(socket, text);
        };
        const origin = `http://${LOCALHOST}:${String((server.address() as AddressInfo).port)}`;
        const client = new NodeClient({ name: "n", origin });
        const result: unknown = await client.call(METHOD, {}).catch((err: unknown) => err);
        await client.close();
        if (isWhole) {
          expect(result).to.equal(12);
        } else {
          expect(result).to.be.instanceOf(PeerError).and.to.include({ sent: true });
        }
      });
    }
  }
});
