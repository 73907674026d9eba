import { createServer, type AddressInfo, type Server, type Socket } from "node:net";

import { AnswerEnd, PeerError } from "@lycheepulley/core";
import { expect } from "chai";
import { z } from "zod";

import { HttpPeer, type StreamOptions } from "./HttpPeer.js";

const LOCALHOST = "127.0.0.1";
const OK = "HTTP/1.1 200 OK\r\n";
const EARLY = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
const LATER_MS = 10;

type Close = (socket: Socket, text: string) => void;

const CLOSINGS: readonly { name: string; isReset?: boolean; close: Close }[] = [
  { name: "an orderly end", close: (socket, text) => socket.end(text) },
  {
    name: "an orderly end later",
    close: (socket, text) => {
      socket.write(text, () => setTimeout(() => socket.end(), LATER_MS));
    },
  },
  {
    name: "a reset with the data",
    isReset: true,
    close: (socket, text) => {
      socket.write(text);
      socket.resetAndDestroy();
    },
  },
  {
    name: "a reset later",
    isReset: true,
    close: (socket, text) => {
      socket.write(text, () => setTimeout(() => socket.resetAndDestroy(), LATER_MS));
    },
  },
];

const FRAMINGS: readonly {
  name: string;
  isFramed: boolean;
  /** Its head isn't taken at all. */
  isRefused?: boolean;
  frame: (body: string) => string;
}[] = [
  { name: "no framing", isFramed: false, frame: (body) => `${OK}\r\n${body}` },
  {
    name: "no framing, Connection: close",
    isFramed: false,
    frame: (body) => `${OK}Connection: close\r\n\r\n${body}`,
  },
  {
    name: "no framing in HTTP/1.0",
    isFramed: false,
    frame: (body) => `HTTP/1.0 200 OK\r\n\r\n${body}`,
  },
  {
    name: "a coding that isn't chunked",
    isFramed: false,
    isRefused: true,
    frame: (body) => `${OK}Transfer-Encoding: gzip\r\n\r\n${body}`,
  },
  {
    name: "no framing behind an early answer",
    isFramed: false,
    frame: (body) => `${EARLY}${OK}\r\n${body}`,
  },
  {
    name: "a length",
    isFramed: true,
    frame: (body) => `${OK}Content-Length: ${String(body.length)}\r\n\r\n${body}`,
  },
  {
    name: "chunks",
    isFramed: true,
    frame: (body) =>
      `${OK}Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
  },
  {
    name: "chunks, Connection: close",
    isFramed: true,
    frame: (body) =>
      `${OK}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
  },
];

const CUT: readonly [name: string, text: string][] = [
  ["a length", `${OK}Content-Length: 9\r\n\r\n{}`],
  ["a length, Connection: close", `${OK}Connection: close\r\nContent-Length: 9\r\n\r\n{}`],
  ["chunks", `${OK}Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n`],
  [
    "chunks, Connection: close",
    `${OK}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n`,
  ],
];

/** JSON texts of which the first ones end by themselves. */
const JSON_TEXTS: readonly [text: string, delimitsItself: boolean][] = [
  ['{"a":1}', true],
  ["[12,3]", true],
  ["12", false],
  ['"ab"', false],
  ["null", false],
  ["true", false],
];

describe("HttpPeer: ends of answers", () => {
  let server: Server;
  let answer: (socket: Socket) => void;
  let peer: HttpPeer;

  beforeEach(async () => {
    server = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.on("data", () => {
        answer(socket);
      });
    });
    await new Promise<void>((resolve) => server.listen(0, LOCALHOST, resolve));
    const origin = `http://${LOCALHOST}:${String((server.address() as AddressInfo).port)}`;
    peer = new HttpPeer({ name: "p", kind: "test", origin });
  });
  afterEach(async () => {
    await peer.close();
    server.close();
  });

  /** Resolves with "rejected" for a PeerError after which the request may have run. */
  const toResult = <T>(call: Promise<T>): Promise<T | "rejected"> =>
    call.catch((err: unknown) => {
      expect(err).to.be.instanceOf(PeerError).and.to.include({ sent: true });
      return "rejected" as const;
    });
  /** Calls on a connection of its own, which no reset behind an earlier answer can hit. */
  const useFresh = async <T>(run: (fresh: HttpPeer) => Promise<T>): Promise<T | "rejected"> => {
    const fresh = new HttpPeer({ name: "p", kind: "test", origin: peer.origin });
    const result = await toResult(run(fresh));
    await fresh.close();
    return result;
  };
  const call = (): Promise<string> => useFresh(async (one) => (await one.call("/")).end);
  const callJson = (): Promise<unknown> => useFresh((one) => one.callJson("/", z.unknown()));
  const postJson = (): Promise<unknown> => useFresh((one) => one.postJson("/", {}, z.unknown()));
  const stream = (options: StreamOptions): Promise<string> =>
    useFresh((one) => one.stream("/", options, () => undefined).then(() => "resolved"));

  for (const { name: closing, isReset = false, close } of CLOSINGS) {
    for (const { name, isFramed, isRefused = false, frame } of FRAMINGS) {
      const answerWith = (body: string): void => {
        answer = (socket) => {
          close(socket, frame(body));
        };
      };

      // Parts of answers were taken for whole ones.
      it(`tell whole ones from others: ${name}, ${closing}`, async () => {
        answerWith("part");
        const called = await call();
        expect(called).to.be.oneOf(
          isFramed ? [AnswerEnd.Whole] : [AnswerEnd.Unknown, AnswerEnd.Cut, "rejected"],
        );
        expect(await stream({})).to.equal(isFramed ? "resolved" : "rejected");
        for (const [text, delimitsItself] of JSON_TEXTS) {
          answerWith(text);
          const results = [await callJson(), await postJson()];
          const value: unknown = JSON.parse(text);
          // A reset that is seen apart from the data is an error for all answers without framing.
          const mayReject = !isFramed && (!delimitsItself || isReset || isRefused);
          const expected = [
            ...((isFramed || delimitsItself) && !isRefused ? [value] : []),
            ...(mayReject ? ["rejected"] : []),
          ];
          for (const result of results) {
            expect(expected, `${text}: ${JSON.stringify(result)}`).to.deep.include(result);
          }
        }
      });

      it(`leave the end to a reader's marker: ${name}, ${closing}`, async () => {
        answerWith("part");
        const expected = [
          ...(isRefused ? [] : ["resolved"]),
          ...((isReset && !isFramed) || isRefused ? ["rejected"] : []),
        ];
        expect(await stream({ hasEndMarker: true })).to.be.oneOf(expected);
      });
    }

    for (const [name, text] of CUT) {
      it(`reject one that is cut: ${name}, ${closing}`, async () => {
        answer = (socket) => {
          close(socket, text);
        };
        const results = [await call(), await callJson(), await postJson()];
        const streams = [await stream({}), await stream({ hasEndMarker: true })];
        expect([...results, ...streams]).to.deep.equal(Array(5).fill("rejected"));
      });
    }
  }

  const bodiless: readonly [name: string, text: string, method: "GET" | "HEAD"][] = [
    ["status 204", "HTTP/1.1 204 No Content\r\n\r\n", "GET"],
    ["status 304", "HTTP/1.1 304 Not Modified\r\n\r\n", "GET"],
    ["an answer to HEAD", `${OK}\r\n`, "HEAD"],
    ["a length of 0", `${OK}Content-Length: 0\r\n\r\n`, "GET"],
  ];
  for (const [name, text, method] of bodiless) {
    it(`tell ${name} as whole`, async () => {
      answer = (socket) => socket.end(text);
      expect((await peer.call("/", { method })).end).to.equal(AnswerEnd.Whole);
    });
  }

  it("keep the status of one whose end isn't known", async () => {
    answer = (socket) => socket.end("HTTP/1.1 410 Gone\r\n\r\n{");
    const called = await peer.call("/");
    expect(called).to.include({ status: 410, end: AnswerEnd.Unknown });
    const err: unknown = await peer.callJson("/", z.unknown()).catch((reason: unknown) => reason);
    expect(err).to.include({ status: 410, sent: true });
  });
});
