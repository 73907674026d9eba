import { connect } from "node:net";

import { expect } from "chai";

import { HttpServer, sendJson } from "./HttpServer.js";

const LOCALHOST = "127.0.0.1";

/** Sends raw bytes and resolves with the first line of the answer. */
const send = (port: number, text: string): Promise<string> =>
  new Promise((resolve, reject) => {
    const socket = connect(port, LOCALHOST, () => {
      socket.write(text);
    });
    socket.once("data", (data) => {
      resolve(data.toString().split("\r\n")[0] ?? "");
      socket.destroy();
    });
    socket.once("error", reject);
    socket.once("close", () => {
      resolve("closed");
    });
  });

describe("HttpServer: request lines that are no URL", () => {
  const server = new HttpServer(
    [
      {
        ...{ method: "GET", path: "/good" },
        handle: (_req, res) => {
          sendJson(res, 200, {});
        },
      },
    ],
    (_err, _req, res) => {
      sendJson(res, 500, {});
    },
  );
  before(() => server.listen(LOCALHOST, 0));
  after(() => server.close());

  const cases: readonly [line: string, answer: string][] = [
    ["GET // HTTP/1.1", "HTTP/1.1 400 Bad Request"],
    ["GET //: HTTP/1.1", "HTTP/1.1 400 Bad Request"],
    ["GET http://[ HTTP/1.1", "HTTP/1.1 400 Bad Request"],
    ["GET /%00%ff HTTP/1.1", "HTTP/1.1 404 Not Found"],
    ["GET ? HTTP/1.1", "HTTP/1.1 400 Bad Request"],
    ["BREW /good HTTP/1.1", "HTTP/1.1 400 Bad Request"],
    ["CONNECT a:1 HTTP/1.1", "HTTP/1.1 400 Bad Request"],
    ["GET /good HTTP/1.1", "HTTP/1.1 200 OK"],
  ];
  for (const [line, answer] of cases) {
    it(`answers ${line}`, async () => {
      expect(await send(server.port, `${line}\r\nHost: a\r\n\r\n`)).to.equal(answer);
      expect(await send(server.port, "GET /good HTTP/1.1\r\nHost: a\r\n\r\n")).to.equal(
        "HTTP/1.1 200 OK",
      );
    });
  }
});
