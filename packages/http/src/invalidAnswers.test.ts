import { isPeerError } from "@lycheepulley/core";
import {
  newAnswerCases,
  RawServer,
  testAnswers,
  type ReadAnswer,
} from "@lycheepulley/core/testing";
import { expect } from "chai";

import { HttpPeer } from "./HttpPeer.js";

const TIMEOUT_MS = 5_000;

const withPeer = async (
  { origin }: RawServer,
  read: (peer: HttpPeer) => Promise<ReadAnswer>,
): Promise<ReadAnswer> => {
  const peer = new HttpPeer({ name: "p", kind: "test", origin, timeoutMs: TIMEOUT_MS });
  try {
    return await read(peer);
  } finally {
    await peer.close();
  }
};

const readText = (server: RawServer): Promise<ReadAnswer> =>
  withPeer(server, async (peer) => {
    try {
      const { status, text } = await peer.call("/");
      return { isAnswer: true, status, passedOn: text };
    } catch {
      return { isAnswer: false };
    }
  });

const readStream = (server: RawServer): Promise<ReadAnswer> =>
  withPeer(server, async (peer) => {
    let passedOn: string | undefined;
    try {
      await peer.stream("/", {}, (bytes) => {
        passedOn = `${passedOn ?? ""}${bytes.toString("latin1")}`;
      });
      return { isAnswer: true, status: 200, passedOn };
    } catch (err) {
      const status = isPeerError(err) ? err.status : undefined;
      return { isAnswer: status !== undefined, status, passedOn };
    }
  });

// undici takes an interim 100 that wasn't asked for as an error.
const CASES = newAnswerCases().filter(({ hasContinue }) => !hasContinue);
// It tells neither the version nor all of a reason; neither is passed on.
const SEEN = CASES.filter(({ fault }) => fault === undefined);

describe("HttpPeer.call and invalid answers", () => {
  testAnswers(SEEN, readText);
});

describe("HttpPeer.stream and invalid answers", () => {
  testAnswers(SEEN, readStream);
});

describe("HttpPeer and answers of other versions", () => {
  // Guards against answers by which a peer shows that it doesn't speak this protocol.
  it("refuses them", async () => {
    const taken: string[] = [];
    for (const { name, bytes } of CASES.filter(({ fault }) => fault === "version")) {
      const server = new RawServer();
      await server.listen();
      server.answerWith(bytes);
      const { isAnswer } = await readText(server);
      server.close();
      if (isAnswer) {
        taken.push(name);
      }
    }
    expect(taken).to.deep.equal([]);
  });
});
