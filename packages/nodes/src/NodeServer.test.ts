import { expect } from "chai";
import { z } from "zod";

import { NodeServer } from "./NodeServer.js";
import { newRpcMethod } from "./rpc.js";

const echoMethod = newRpcMethod(
  "echo",
  z.object({ text: z.string() }),
  z.object({ text: z.string() }),
);
/** Estimated size of the headers of a call and of an answer, as the server counts them. */
const HEADER_BYTES = 250;

describe("NodeServer", () => {
  // Guards against counting characters as bytes.
  it("counts the bytes of calls and answers", async () => {
    const server = new NodeServer();
    server.handle(echoMethod, ({ text }) => ({ text }));
    await server.listen("127.0.0.1", 0);
    try {
      const params = { text: "é€😀" };
      const body = JSON.stringify({ jsonrpc: "2.0", id: 1, method: "echo", params });
      const url = `http://127.0.0.1:${String(server.port)}/rpc`;
      const answer = await (await fetch(url, { method: "POST", body })).text();
      expect(JSON.parse(answer)).to.have.deep.property("result", params);
      expect(server.traffic).to.deep.equal({
        receivedBytes: Buffer.byteLength(body) + HEADER_BYTES,
        sentBytes: Buffer.byteLength(answer) + HEADER_BYTES,
      });
    } finally {
      await server.close();
    }
  });
});
