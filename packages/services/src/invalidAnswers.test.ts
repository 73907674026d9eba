import { newAnswerCases, testAnswers } from "@lycheepulley/core/testing";

import { HttpServiceClient } from "./ServiceClient.js";

// undici takes an interim 100 that wasn't asked for as an error, and tells neither version nor all of the reason.
const CASES = newAnswerCases().filter(
  ({ hasContinue, fault }) => !hasContinue && fault === undefined,
);

describe("HttpServiceClient and invalid answers", () => {
  testAnswers(CASES, async ({ origin }) => {
    const client = new HttpServiceClient({ name: "s", origin });
    try {
      const { status, body, contentType } = await client.call({
        ...{ method: "POST", path: "/", headers: {}, body: Buffer.from("x"), timeoutMs: 5_000 },
        signal: new AbortController().signal,
      });
      return { isAnswer: true, status, passedOn: contentType + body };
    } catch {
      return { isAnswer: false };
    } finally {
      await client.close();
    }
  });
});
