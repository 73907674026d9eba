import { createServer, type AddressInfo, type Server, type Socket } from "node:net";

import type { AnswerHead, SendState } from "@lycheepulley/forwarding";
import { expect } from "chai";

import { HttpUpstreamTransport } from "./HttpUpstreamTransport.js";

interface Observed {
  readonly end: "end" | "error";
  readonly state: SendState | undefined;
  readonly head: AnswerHead | undefined;
  readonly body: string;
}

const HEAD = "HTTP/1.1 200 OK\r\n";

/** Starts a server that calls `answer` on each connection once a request arrives. */
const listen = (answer: (socket: Socket) => void): Promise<Server> =>
  new Promise((resolve) => {
    const server = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.once("data", () => {
        answer(socket);
      });
    });
    server.listen(0, "127.0.0.1", () => {
      resolve(server);
    });
  });

/** `pauseMs` pauses the answer at its first data, as a caller that reads slowly does. */
const send = (port: number, pauseMs = 0): Promise<Observed> =>
  new Promise((resolve) => {
    let head: AnswerHead | undefined;
    let body = "";
    const finish = (end: Observed["end"], state?: SendState): void => {
      resolve({ end, state, head, body });
    };
    const call = new HttpUpstreamTransport().open(
      {
        ...{ host: "127.0.0.1", port, method: "POST", path: "/a/?b=1", body: Buffer.from("xy") },
        headers: ["Host", "a.example", "Content-Length", "2", "Connection", "close"],
        connectTimeoutMs: 5_000,
      },
      {
        onHead: (value) => {
          head = value;
        },
        onData: (chunk) => {
          if (pauseMs > 0 && body === "") {
            call.pause();
            setTimeout(() => {
              call.resume();
            }, pauseMs);
          }
          body += chunk.toString();
        },
        onEnd: () => {
          finish("end");
        },
        onError: (state) => {
          finish("error", state);
        },
      },
    );
  });

const CASES: {
  readonly name: string;
  readonly answer: (socket: Socket) => void;
  readonly end: Observed["end"];
  readonly body: string;
}[] = [
  {
    name: "an answer with a length is complete at its length",
    answer: (socket) => socket.write(`${HEAD}Content-Length: 3\r\n\r\nabc`),
    end: "end",
    body: "abc",
  },
  {
    name: "bytes after a complete answer are ignored",
    answer: (socket) => socket.write(`${HEAD}Content-Length: 3\r\n\r\nabc${HEAD}\r\nxyz`),
    end: "end",
    body: "abc",
  },
  {
    name: "bytes after a complete answer that aren't HTTP are ignored",
    answer: (socket) => socket.write(`${HEAD}Content-Length: 3\r\n\r\nabcxyz`),
    end: "end",
    body: "abc",
  },
  {
    name: "an answer that ends before its length is an error",
    answer: (socket) => socket.end(`${HEAD}Content-Length: 9\r\n\r\nabc`),
    end: "error",
    body: "abc",
  },
  {
    name: "an answer without a length ends with its connection",
    answer: (socket) => socket.end(`${HEAD}\r\nabc`),
    end: "end",
    body: "abc",
  },
  {
    name: "an answer without a length is an error when its connection is reset",
    answer: (socket) => {
      socket.write(`${HEAD}\r\nabc`, () => {
        setTimeout(() => socket.resetAndDestroy(), 20);
      });
    },
    end: "error",
    body: "abc",
  },
  {
    name: "a chunked answer without the last chunk is an error",
    answer: (socket) => socket.end(`${HEAD}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n`),
    end: "error",
    body: "abc",
  },
  {
    name: "bytes that are not an HTTP answer are an error",
    answer: (socket) => socket.end("garbage\r\n\r\n"),
    end: "error",
    body: "",
  },
];

describe("HttpUpstreamTransport", () => {
  for (const { name, answer, end, body } of CASES) {
    it(name, async () => {
      const server = await listen(answer);
      const observed = await send((server.address() as AddressInfo).port);
      server.close();
      expect({ end: observed.end, body: observed.body }).to.deep.equal({ end, body });
    });
  }

  // Whole answers to slow callers were dropped as broken when the upstream closed its connection.
  it("delivers an answer that is complete before a slow caller has read it", async () => {
    const server = await listen((socket) => {
      socket.write(`${HEAD}Content-Length: 6\r\n\r\nabc`, () => {
        setTimeout(() => socket.end("def"), 20);
      });
    });
    const observed = await send((server.address() as AddressInfo).port, 100);
    server.close();
    expect(observed).to.include({ end: "end", body: "abcdef" });
  });

  it("reports an answer that is cut while a slow caller reads it", async () => {
    const server = await listen((socket) => {
      socket.write(`${HEAD}Content-Length: 9\r\n\r\nabc`, () => {
        setTimeout(() => socket.end("def"), 20);
      });
    });
    const observed = await send((server.address() as AddressInfo).port, 100);
    server.close();
    expect(observed.end).to.equal("error");
  });

  it("reports that nothing was sent when the connection is refused", async () => {
    const server = await listen(() => undefined);
    const { port } = server.address() as AddressInfo;
    await new Promise((resolve) => server.close(resolve));
    const observed = await send(port);
    expect(observed).to.include({ end: "error", state: "unsent" });
  });

  it("tells how much of a request its upstream hasn't taken", async () => {
    const server = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.pause();
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const body = Buffer.alloc(64 * 1_048_576);
    const ignore = (): void => undefined;
    const call = new HttpUpstreamTransport().open(
      {
        ...{ host: "127.0.0.1", port, method: "POST", path: "/", body, connectTimeoutMs: 5_000 },
        headers: ["Host", "a.example", "Content-Length", String(body.length)],
      },
      { onHead: ignore, onData: ignore, onEnd: ignore, onError: ignore },
    );
    await new Promise((resolve) => setTimeout(resolve, 200));
    expect(call.unsentBytes).to.be.above(body.length / 2);
    call.abort();
    server.close();
  });

  const confirmations: readonly [name: string, isGone: boolean, received: number][] = [
    ["sends a request once its caller is known to be there", false, 1],
    ["sends nothing for a caller that turns out to have left", true, 0],
  ];
  for (const [name, isGone, received] of confirmations) {
    // Requests whose connections opened in a freeze of the process were sent for callers that had left.
    it(name, async () => {
      let requests = 0;
      let early = NaN;
      const server = await listen(() => (requests += 1));
      const ignore = (): void => undefined;
      const call = new HttpUpstreamTransport().open(
        {
          ...{ host: "127.0.0.1", port: (server.address() as AddressInfo).port },
          ...{ method: "POST", path: "/", body: Buffer.from("xy"), connectTimeoutMs: 5_000 },
          headers: ["Host", "a.example", "Content-Length", "2"],
          confirm: async () => {
            await new Promise((resolve) => setTimeout(resolve, 50));
            early = requests;
            if (isGone) {
              call.abort();
            }
          },
        },
        { onHead: ignore, onData: ignore, onEnd: ignore, onError: ignore },
      );
      await new Promise((resolve) => setTimeout(resolve, 150));
      expect([early, requests]).to.deep.equal([0, received]);
      call.abort();
      server.close();
    });
  }
});
