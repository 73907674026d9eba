import { newRequestCases, testRequests } from "@lycheepulley/core/testing";

import { HttpServer, readBody, type Handler } from "./HttpServer.js";

// The listener of callers of `lycheepulley entry` and that of peers.
describe("HttpServer and invalid requests", () => {
  let server: HttpServer;
  let served = 0;
  before(async () => {
    const handle = async (...[req, res]: Parameters<Handler>): Promise<void> => {
      await readBody(req, 100);
      served += 1;
      res.end("served");
    };
    server = new HttpServer([{ method: "POST", path: "/a/1", handle }], (_err, _req, res) => {
      res.destroy();
    });
    await server.listen("127.0.0.1", 0);
  });
  after(() => server.close());
  testRequests(newRequestCases("/a/1"), {
    get port() {
      return server.port;
    },
    get served() {
      return served;
    },
  });
});
