import { connect } from "node:net";

import { expect } from "chai";

import type { RequestCase } from "./requests.js";
import { PACES, writeAtPace } from "./RawServer.js";

/** Time for which a listener that hasn't closed a connection may still answer, milliseconds. */
const QUIET_MS = 60;
/** Bound for a busy machine. */
const MAX_ANSWER_MS = 5_000;

/** What came back for a request. */
export interface SentRequest {
  readonly text: string;
  /** The listener closed the connection. */
  readonly isClosed: boolean;
}

/** Sends bytes at a pace, and returns what comes back until nothing more does. */
export const sendRequest = (
  port: number,
  bytes: string,
  pace: (typeof PACES)[number] = {},
): Promise<SentRequest> =>
  new Promise((resolve) => {
    const socket = connect({ host: "127.0.0.1", port });
    let text = "";
    let isClosed = false;
    const end = (): void => {
      socket.destroy();
      resolve({ text, isClosed });
    };
    let timer = setTimeout(end, MAX_ANSWER_MS);
    socket.on("data", (chunk: Buffer) => {
      text += chunk.toString("latin1");
      clearTimeout(timer);
      timer = setTimeout(end, QUIET_MS);
    });
    socket.on("error", () => undefined);
    socket.on("close", () => {
      isClosed = true;
      clearTimeout(timer);
      end();
    });
    socket.setNoDelay(true);
    void writeAtPace(socket, bytes, pace);
  });

/** Sends bytes at a pace, and returns the statuses of what comes back. */
const exchange = async (
  port: number,
  bytes: string,
  pace: (typeof PACES)[number],
): Promise<string[]> => {
  const { text } = await sendRequest(port, bytes, pace);
  return [...text.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(([, status = ""]) => status);
};

/** `listener` has the port that takes the requests, and counts those that it serves. */
export const testRequests = (
  cases: readonly RequestCase[],
  listener: { readonly port: number; readonly served: number },
): void => {
  for (const { name, bytes, isValid } of cases) {
    // Guards against requests that are served although another reader sees other bytes in them.
    it(`${isValid ? "serves" : "refuses"} a request with ${name}`, async () => {
      const before = listener.served;
      const answers = await Promise.all(PACES.map((pace) => exchange(listener.port, bytes, pace)));
      const statuses = answers.flat();
      if (isValid) {
        expect(statuses).to.deep.equal(PACES.map(() => "200"));
      } else {
        expect([...new Set(statuses)]).to.deep.equal(["400"]);
        expect(listener.served).to.equal(before);
      }
    });
  }
};
