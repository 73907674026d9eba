import { createConnection } from "node:net";
import type { Duplex } from "node:stream";

import { toTimerMs } from "@lycheepulley/core";
import type { Connector, UpstreamAddress } from "@lycheepulley/forwarding";

/** Opens a TCP connection for each request. */
export class TcpConnector implements Connector {
  connect({ host, port }: UpstreamAddress, timeoutMs: number): Promise<Duplex> {
    return new Promise((resolve, reject) => {
      const socket = createConnection({ host, port, noDelay: true });
      const timer = setTimeout(() => {
        socket.destroy(new Error(`no connection within ${String(timeoutMs)} ms`));
      }, toTimerMs(timeoutMs));
      socket.once("connect", () => {
        clearTimeout(timer);
        resolve(socket);
      });
      // Stays for errors that come before the connection has its user.
      socket.on("error", (err) => {
        clearTimeout(timer);
        reject(err);
      });
    });
  }
}
