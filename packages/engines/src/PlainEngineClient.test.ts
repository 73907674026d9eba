import { createServer, type AddressInfo } from "node:net";

import { isPeerError } from "@lycheepulley/core";
import { expect } from "chai";

import { PlainEngineClient } from "./PlainEngineClient.js";

describe("PlainEngineClient", () => {
  // Its answer from the beginning was joined to the part that another engine had sent.
  it("doesn't continue an answer that another engine began", async () => {
    let connections = 0;
    const server = createServer((socket) => {
      connections += 1;
      socket.on("error", () => undefined);
      socket.destroy();
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const client = new PlainEngineClient({
      ...{ name: "e", origin: `http://127.0.0.1:${String(port)}`, model: "m" },
    });
    const err: unknown = await client
      .generate(
        {
          ...{ attemptId: "req:a2", path: "/v1/completions", body: "{}", priority: 1 },
          ...{ resume: { fromSeq: 2, text: "ab" }, timeoutMs: 1_000 },
          signal: new AbortController().signal,
        },
        () => undefined,
      )
      .catch((reason: unknown) => reason);
    await client.close();
    server.close();
    expect(isPeerError(err) && !err.sent).to.equal(true);
    expect(connections).to.equal(0);
  });
});
