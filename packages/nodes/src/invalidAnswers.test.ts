import { isPeerError } from "@lycheepulley/core";
import {
  newAnswerCases,
  testAnswers,
  type AnswerCase,
  type ReadAnswer,
} from "@lycheepulley/core/testing";
import { z } from "zod";

import { NodeClient } from "./NodeClient.js";
import { openRelay } from "./openRelay.js";
import type { RpcMethod } from "./rpc.js";

const METHOD = { name: "m", params: z.any(), result: z.number() } as RpcMethod<
  z.ZodAny,
  z.ZodNumber
>;
const BODY = '{"jsonrpc":"2.0","id":1,"result":7}';

// Answers of another status have no result.
// undici takes an interim 100 that wasn't asked for as an error, and tells neither version nor all of the reason.
const CASES = newAnswerCases({ body: BODY }).filter(
  ({ hasContinue, fault, status = 200 }) => !hasContinue && fault === undefined && status === 200,
);

/** The same answer in chunks, as only such a one opens a connection. */
const toChunks = (one: AnswerCase): AnswerCase => ({
  ...one,
  bytes: one.bytes
    .replace(/content-length: ?5\r\n/i, "Transfer-Encoding: chunked\r\n")
    .replace(/\r\n\r\n\[1,2\]$/, "\r\n\r\n5\r\n[1,2]\r\n0\r\n\r\n"),
});

describe("NodeClient and invalid answers", () => {
  testAnswers(CASES, async ({ origin }) => {
    const client = new NodeClient({ name: "n", origin });
    try {
      const result = await client.call(METHOD, {}, { timeoutMs: 5_000 });
      return { isAnswer: true, status: 200, passedOn: String(result) };
    } catch (err) {
      const status = isPeerError(err) ? err.status : undefined;
      return { isAnswer: status !== undefined, status };
    } finally {
      await client.close();
    }
  });
});

describe("openRelay and invalid answers of the peer", () => {
  // Another status than 200 opens no connection.
  const cases = newAnswerCases()
    .filter(({ status = 200, name }) => status === 200 && name !== "version 1.0")
    .map(toChunks);
  testAnswers(cases, async ({ port }): Promise<ReadAnswer> => {
    const host = "127.0.0.1";
    try {
      const connection = await openRelay({ host, port }, { host, port: 1, timeoutMs: 5_000 });
      let passedOn = "";
      const isAnswer = await new Promise<boolean>((resolve) => {
        connection.on("data", (chunk: Buffer) => {
          passedOn += chunk.toString("latin1");
        });
        connection.on("end", () => {
          resolve(true);
        });
        connection.on("error", () => {
          resolve(false);
        });
      });
      connection.destroy();
      return { isAnswer, status: 200, passedOn };
    } catch {
      return { isAnswer: false };
    }
  });
});
