import { connect } from "node:net";

import { SystemClock } from "@lycheepulley/core";
import {
  newAnswerCases,
  testAnswers,
  type RawServer,
  type ReadAnswer,
} from "@lycheepulley/core/testing";
import { NodeServer, openRelay, RelayServer } from "@lycheepulley/nodes";
import type { Connector } from "@lycheepulley/forwarding";

import { fetchAnswer } from "./fetchAnswer.js";
import { HttpUpstreamTransport } from "./HttpUpstreamTransport.js";

const HOST = "127.0.0.1";
const REQUEST = {
  ...{ host: HOST, method: "POST", path: "/", body: Buffer.from("xy") },
  headers: ["Host", "a.example", "Content-Length", "2", "Connection", "close"],
};

const read = (transport: HttpUpstreamTransport, { port }: RawServer): Promise<ReadAnswer> =>
  new Promise((resolve) => {
    let status: number | undefined;
    let passedOn: string | undefined;
    transport.open(
      { ...REQUEST, port, connectTimeoutMs: 5_000 },
      {
        onHead: (head) => {
          ({ status } = head);
          passedOn = head.headers.join();
        },
        onData: (chunk) => {
          passedOn = `${passedOn ?? ""}${chunk.toString("latin1")}`;
        },
        onEnd: () => {
          resolve({ isAnswer: true, status, passedOn });
        },
        onError: () => {
          resolve({ isAnswer: false, status, passedOn });
        },
      },
    );
  });

describe("HttpUpstreamTransport and invalid answers", () => {
  testAnswers(newAnswerCases(), (server) => read(new HttpUpstreamTransport(), server));
});

describe("HttpUpstreamTransport and invalid answers through a relay", () => {
  let peer: NodeServer;
  before(async () => {
    const relays = new RelayServer({
      mayRelay: () => true,
      connect: ({ port }) =>
        new Promise((resolve) => {
          const socket = connect({ host: HOST, port }, () => {
            resolve(socket);
          });
        }),
    });
    peer = new NodeServer([relays.route]);
    await peer.listen(HOST, 0);
  });
  after(() => peer.close());

  testAnswers(newAnswerCases(), (server) => {
    const connector: Connector = {
      connect: ({ host, port }, timeoutMs) =>
        openRelay({ host: HOST, port: peer.port }, { host, port, timeoutMs }),
    };
    return read(new HttpUpstreamTransport(connector), server);
  });
});

describe("fetchAnswer and invalid answers", () => {
  testAnswers(newAnswerCases(), async ({ port }) => {
    const answer = await fetchAnswer(new HttpUpstreamTransport(), new SystemClock(), {
      ...{ ...REQUEST, port, timeoutMs: 5_000 },
    });
    return {
      ...{ isAnswer: answer !== undefined, status: answer?.status },
      passedOn: answer?.body.toString("latin1"),
    };
  });
});
