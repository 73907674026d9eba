import { createServer, type AddressInfo, type Server, type Socket } from "node:net";

import { AnswerFault } from "@lycheepulley/core";
import type { Connector } from "@lycheepulley/forwarding";
import { openRelay } from "@lycheepulley/nodes";
import { expect } from "chai";

import { HttpUpstreamTransport } from "./HttpUpstreamTransport.js";

const LOCALHOST = "127.0.0.1";
const OK = "HTTP/1.1 200 OK\r\n";
const EARLY = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
const LENGTH = `${OK}Content-Length: 3\r\n\r\n`;
const LONGER = `${OK}Content-Length: 9\r\n\r\n`;
const CHUNKS = `${OK}Transfer-Encoding: chunked\r\n\r\n`;
const ABC = "3\r\nabc\r\n";
const LAST = "0\r\n\r\n";
const LATER_MS = 20;

/** What a transport told of an answer. */
interface Told {
  readonly body: string;
  /** Last calls of the observer, in order: one if all is well. */
  readonly ends: readonly string[];
}

const WHOLE = { body: "abc", ends: ["end"] };
const BROKEN = { body: "abc", ends: ["error"] };
const FRAMING = { body: "abc", ends: [`error ${AnswerFault.Framing}`] };
const HEAD = { body: "", ends: [`error ${AnswerFault.Head}`] };

/** Parts of an answer, and what is told of them. */
type Case = readonly [name: string, before: string, behind: string, told: Told];

const FAULTS: readonly Case[] = [
  ["bytes in place of a chunk's size", CHUNKS + ABC, "garbage!\r\n", FRAMING],
  ["17 digits in place of a chunk's size", CHUNKS + ABC, `${"f".repeat(17)}\r\n`, FRAMING],
  ["an empty line in place of a chunk's size", CHUNKS + ABC, "\r\n", FRAMING],
  ["a negative size", CHUNKS + ABC, "-1\r\n", FRAMING],
  ["a size behind a space", CHUNKS + ABC, " 3\r\nabc\r\n", FRAMING],
  ["a size in a notation", CHUNKS + ABC, "0x3\r\nabc\r\n", FRAMING],
  ["a size with a line feed alone", CHUNKS + ABC, "3\ndef\r\n", FRAMING],
  ["a last chunk with bytes", CHUNKS + ABC, "0\r\nx y\r\n\r\n", FRAMING],
  ["a chunk that is longer than its size", CHUNKS, "3\r\nabcd\r\n", FRAMING],
  ["control bytes in a chunk extension", CHUNKS + ABC, "3;a=\u0001\r\ndef\r\n", FRAMING],
  ["a length behind chunks", CHUNKS + ABC, "0\r\nContent-Length: 9\r\n\r\n", FRAMING],
  ["an invalid trailer", CHUNKS + ABC, "0\r\n: a\r\n\r\n", FRAMING],
  ["a trailer with control bytes", CHUNKS + ABC, "0\r\na: \u0001\r\n\r\n", FRAMING],
  ["bytes in place of a head", "", "garbage\r\n\r\n", HEAD],
  ["a head without a colon", `${OK}a`, "b\r\n\r\nabc", HEAD],
  ["bytes behind an early answer", EARLY, "garbage\r\n\r\n", HEAD],
  ["an early answer with control bytes", "", `HTTP/1.1 103 a\r\nb: \u0001\r\n\r\n`, HEAD],
  ["two lengths", `${OK}Content-Length: 3\r\n`, "Content-Length: 4\r\n\r\nabc", HEAD],
  ["a length and chunks", `${OK}Content-Length: 3\r\n`, CHUNKS.slice(OK.length) + ABC, HEAD],
  ["a length that is no number", OK, "Content-Length: 0x3\r\n\r\nabc", HEAD],
];

const SOUND: readonly Case[] = [
  ["bytes", LENGTH + "abc", "garbage", WHOLE],
  ["another answer", LENGTH + "abc", `${LENGTH}def`, WHOLE],
  ["a late head", LENGTH + "abc", "HTTP/1.1 999 \u0001\r\n\r\n", WHOLE],
  ["bytes behind chunks", CHUNKS + ABC + LAST, "garbage", WHOLE],
  ["another answer behind chunks", CHUNKS + ABC + LAST, CHUNKS + ABC + LAST, WHOLE],
  ["a size behind chunks", CHUNKS + ABC + LAST, ABC, WHOLE],
  ["no body and bytes", `${OK}Content-Length: 0\r\n\r\n`, "garbage", { body: "", ends: ["end"] }],
  ["204 and bytes", "HTTP/1.1 204 No\r\n\r\n", "garbage", { body: "", ends: ["end"] }],
  ["a trailer", CHUNKS + ABC, "0\r\na: b\r\n\r\n", WHOLE],
  ["chunk extensions", CHUNKS, `3;a=b;c="d"\r\nabc\r\n${LAST}`, WHOLE],
  ["a size with leading zeros", CHUNKS, `0000000000000003\r\nabc\r\n${LAST}`, WHOLE],
  ["early answers", EARLY + EARLY, `${LENGTH}abc`, WHOLE],
];

const PARTS: readonly Case[] = [
  ["inside a length", LONGER, "abc", BROKEN],
  ["inside a chunk", CHUNKS, "9\r\nabc", BROKEN],
  ["behind a chunk", CHUNKS, ABC, BROKEN],
  ["inside a size", CHUNKS + ABC, "1", BROKEN],
  ["inside a line end", CHUNKS, "3\r\nabc\r", BROKEN],
  ["inside the last chunk", CHUNKS + ABC, "0\r\n", BROKEN],
  ["inside a trailer", CHUNKS + ABC, "0\r\na: b\r\n", BROKEN],
  ["inside a head", OK, "Content-Le", { body: "", ends: ["error"] }],
  ["inside a status line", "HTTP/1.", "1 2", { body: "", ends: ["error"] }],
  ["inside an early answer", EARLY, "HTTP/1.1 103", { body: "", ends: ["error"] }],
  ["behind an early answer", EARLY, "", { body: "", ends: ["error"] }],
  ["before an answer", "", "", { body: "", ends: ["error"] }],
];

/** Splits an answer behind its first head. */
const splitHead = (text: string): string[] => {
  const headEnd = text.indexOf("\r\n\r\n") + 4;
  return headEnd < 4 ? [text] : [text.slice(0, headEnd), text.slice(headEnd)];
};

/** What arrives in one read each; of the body, what comes with its head and a fault isn't told. */
const ARRIVALS: readonly {
  name: string;
  split: (before: string, behind: string) => string[];
  isBodyLost: boolean;
}[] = [
  { name: "in one read", split: (...parts) => [parts.join("")], isBodyLost: true },
  { name: "its fault in another read", split: (...parts) => parts, isBodyLost: false },
  {
    name: "its head in another read",
    split: (...parts) => splitHead(parts.join("")),
    isBodyLost: false,
  },
];

/** Writes parts one after another. */
const writeParts = (socket: Socket, [part = "", ...rest]: readonly string[]): void => {
  socket.write(part);
  if (rest.length > 0) {
    setTimeout(() => {
      writeParts(socket, rest);
    }, LATER_MS);
  }
};

/** What arrives through a peer before the fault, and what is told of it. */
const RELAYED: readonly [name: string, text: string, told: Told][] = [
  ["an answer", "", { body: "", ends: ["error"] }],
  ["the rest of a head", OK, { body: "", ends: ["error"] }],
  ["the rest of a body", `${LONGER}abc`, BROKEN],
  ["a chunk's size", CHUNKS + ABC, BROKEN],
  ["bytes behind an answer", `${LENGTH}abc`, WHOLE],
];
const RELAY_FAULTS = ["garbage!\r\n", `${"f".repeat(17)}\r\n`, "\r\n", "0\r\n: a\r\n\r\n"];

const CLOSINGS: readonly [name: string, close: (socket: Socket) => void][] = [
  ["in order", (socket) => socket.end()],
  ["by a reset", (socket) => socket.resetAndDestroy()],
];

describe("faults of upstreams' answers", () => {
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

  /** Opens connections through a peer, in whose place the server answers. */
  const relayed: Connector = {
    connect: ({ host, port }) => openRelay({ host, port }, { host, port, timeoutMs: 500 }),
  };

  /** Resolves some time after the answer's end, with all that was told by then. */
  const send = (connector?: Connector): Promise<Told> =>
    new Promise((resolve) => {
      let body = "";
      const ends: string[] = [];
      const end = (name: string): void => {
        ends.push(name);
        setTimeout(() => {
          resolve({ body, ends });
        }, 2 * LATER_MS);
      };
      new HttpUpstreamTransport(connector).open(
        {
          ...{ host: LOCALHOST, port: (server.address() as AddressInfo).port, method: "POST" },
          ...{ path: "/", headers: ["Host", "a.example", "Content-Length", "2"] },
          ...{ body: Buffer.from("xy"), connectTimeoutMs: 5_000 },
        },
        {
          onHead: () => undefined,
          onData: (chunk) => {
            body += ends.length > 0 ? " behind the end" : chunk.toString("latin1");
          },
          onEnd: () => {
            end("end");
          },
          onError: (_state, _err, fault) => {
            end(fault === undefined ? "error" : `error ${fault}`);
          },
        },
      );
    });

  for (const { name: arrival, split, isBodyLost } of ARRIVALS) {
    for (const [name, before, behind, told] of FAULTS) {
      // Guards against bad answers that are told as broken connections, twice, or with bytes behind their end.
      it(`are told once: ${name}, ${arrival}`, async () => {
        onRequest = (socket) => {
          writeParts(socket, split(before, behind));
        };
        expect(await send()).to.deep.equal(isBodyLost ? { ...told, body: "" } : told);
      });
    }

    for (const [name, before, behind, told] of SOUND) {
      // Guards against answers that are broken off, or go on, by what comes behind them.
      it(`are none of a whole answer: ${name}, ${arrival}`, async () => {
        onRequest = (socket) => {
          writeParts(socket, split(before, behind));
        };
        expect(await send()).to.deep.equal(told);
      });
    }
  }

  for (const [closing, close] of CLOSINGS) {
    for (const [name, before, behind, told] of PARTS) {
      // Guards against upstreams that are taken for faulty since their connections break.
      it(`are none of a connection that breaks ${closing}: ${name}`, async () => {
        onRequest = (socket) => {
          socket.write(before + behind);
          setTimeout(() => {
            close(socket);
          }, LATER_MS);
        };
        expect(await send()).to.deep.equal(told);
      });
    }
  }

  for (const [name, text, told] of RELAYED) {
    // Garbage of a peer that relays was taken for its target's.
    it(`are none of a peer's that relays and sends garbage in place of ${name}`, async () => {
      const chunk = text === "" ? "" : `${text.length.toString(16)}\r\n${text}\r\n`;
      const tolds: Told[] = [];
      for (const fault of RELAY_FAULTS) {
        onRequest = (socket) => {
          socket.once("data", () => {
            writeParts(socket, [chunk, fault]);
          });
          socket.write(CHUNKS);
        };
        tolds.push(await send(relayed));
      }
      expect(tolds).to.deep.equal(RELAY_FAULTS.map(() => told));
    });
  }
});
