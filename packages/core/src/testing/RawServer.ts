import { createServer, type AddressInfo, type Server, type Socket } from "node:net";

/** How the bytes of an answer are sent. */
export interface Pace {
  /** All at once by default. */
  readonly bytesPerWrite?: number;
  /** Time between writes, milliseconds; within one turn of the event loop when 0. */
  readonly pauseMs?: number;
  /** Leaves the connection open behind the answer. */
  readonly staysOpen?: boolean;
}

/** At once, byte by byte within turns of the event loop, and in packets with pauses. */
export const PACES: readonly Pace[] = [{}, { bytesPerWrite: 1 }, { bytesPerWrite: 11, pauseMs: 2 }];

/** Writes bytes, one a character, in pieces. */
export const writeAtPace = async (socket: Socket, text: string, pace: Pace): Promise<void> => {
  const { bytesPerWrite = text.length, pauseMs = 0 } = pace;
  const bytes = Buffer.from(text, "latin1");
  for (let at = 0; at < bytes.length && !socket.destroyed; at += bytesPerWrite) {
    socket.write(bytes.subarray(at, at + bytesPerWrite));
    await new Promise((resolve) => {
      if (pauseMs > 0) {
        setTimeout(resolve, pauseMs);
      } else {
        setImmediate(resolve);
      }
    });
  }
};

/** Server that answers each connection, once a request arrives, with given bytes. */
export class RawServer {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #newBytes: (request: string) => string = () => "";
  #pace: Pace = {};
  requests = 0;

  constructor() {
    this.#server = createServer((socket) => {
      this.#sockets.add(socket);
      socket.setNoDelay(true);
      socket.on("error", () => undefined);
      socket.on("close", () => this.#sockets.delete(socket));
      socket.once("data", (data) => {
        // Unread bytes would reset the connection.
        socket.resume();
        this.requests += 1;
        void this.#send(socket, this.#newBytes(data.toString("latin1")));
      });
    });
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  get origin(): string {
    return `http://127.0.0.1:${String(this.port)}`;
  }

  listen(): Promise<void> {
    return new Promise((resolve) => this.#server.listen(0, "127.0.0.1", resolve));
  }

  /** `bytes` has one byte a character; a function gets the first packet of the request. */
  answerWith(bytes: string | ((request: string) => string), pace: Pace = {}): void {
    this.#newBytes = typeof bytes === "string" ? (): string => bytes : bytes;
    this.#pace = pace;
  }

  close(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  async #send(socket: Socket, bytes: string): Promise<void> {
    const { staysOpen = false } = this.#pace;
    await writeAtPace(socket, bytes, this.#pace);
    if (!staysOpen) {
      socket.end();
    }
  }
}
