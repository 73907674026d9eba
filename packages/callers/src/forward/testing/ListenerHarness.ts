import { connect, type Socket } from "node:net";

import { OverloadControl, ProcessLifecycle, SystemClock, SystemRandom } from "@lycheepulley/core";
import {
  DEFAULT_CALLER_LIMITS,
  FleetView,
  type AnswerWriter,
  type Dialect,
  type FleetConfig,
  type ForwardRequest,
} from "@lycheepulley/forwarding";
import { newSilentLogger } from "@lycheepulley/telemetry";

import { ForwardServer } from "../ForwardServer.js";

const HOST = "127.0.0.1";
/** Bound for a busy machine; answers take a few milliseconds. */
export const FIRST_ANSWER_MS = 5_000;
const QUIET_MS = 200;

/** A configuration with one public route, `/a/`. */
export const newConfig = (
  revision: number,
  limits: Partial<FleetConfig["limits"]> = {},
): FleetConfig => ({
  revision,
  routes: [
    {
      ...{ name: "r", host: "a.example", pathPrefix: "/a/", repeat: "at_most_once" },
      ...{ isStream: false, isResumable: false, timeoutMs: 4_000, targetMs: 300, priority: 1 },
      ...{ pools: [{ pool: "p", weight: 1 }], maxAttempts: 1, isPublic: true },
    },
  ],
  pools: [{ name: "p" }],
  limits: { ...DEFAULT_CALLER_LIMITS, ...limits },
});

/** A listener whose requests are answered by `forward`. */
export class ListenerHarness {
  readonly view = new FleetView();
  readonly lifecycle = new ProcessLifecycle();
  readonly server: ForwardServer;
  readonly port: number;
  forward: (req: ForwardRequest, writer: AnswerWriter) => Promise<void> = (_req, writer) => {
    writer.sendOwn(200, "answered");
    return Promise.resolve();
  };
  readHead: Dialect["readHead"] = ({ method, path, headers }) => ({
    ...{ attemptId: "a1", method, path, headers, host: "a.example", deadlineMs: undefined },
    ...{ apiKey: undefined, promptTokens: 0, outputTokens: 0, lastEventId: undefined },
    sharedParts: [],
  });

  private constructor(port: number) {
    this.port = port;
    this.view.applyConfig(newConfig(1));
    this.server = new ForwardServer({
      ...{
        clock: new SystemClock(),
        lifecycle: this.lifecycle,
        load: new OverloadControl({ clock: new SystemClock(), random: new SystemRandom() }),
        view: this.view,
        logger: newSilentLogger(),
      },
      dialect: {
        readHead: (req: Parameters<Dialect["readHead"]>[0]) => this.readHead(req),
      } as Dialect,
      forward: (req, writer) => this.forward(req, writer),
    });
  }

  static async start(): Promise<ListenerHarness> {
    const port = 20_000 + Math.floor(Math.random() * 20_000);
    const harness = new ListenerHarness(port);
    try {
      await harness.server.listen(HOST, port);
    } catch {
      return ListenerHarness.start();
    }
    return harness;
  }

  applyConfig(config: FleetConfig): void {
    this.view.applyConfig(config);
    this.server.applyLimits();
  }

  connect(): Promise<Socket> {
    return new Promise((resolve) => {
      const socket = connect(this.port, HOST, () => {
        resolve(socket);
      });
      socket.on("error", () => undefined);
    });
  }

  /** Sends bytes on a new connection, and returns what comes back until nothing more does. */
  async exchange(bytes: string): Promise<string> {
    const socket = await this.connect();
    let answer = "";
    await new Promise<void>((resolve) => {
      let quiet = setTimeout(resolve, FIRST_ANSWER_MS);
      socket.on("data", (chunk) => {
        answer += chunk.toString();
        clearTimeout(quiet);
        quiet = setTimeout(resolve, QUIET_MS);
      });
      socket.on("close", () => {
        clearTimeout(quiet);
        resolve();
      });
      socket.write(bytes, "latin1");
    });
    socket.destroy();
    return answer;
  }

  /** Sends bytes and then the end of the connection, and returns all that comes back. */
  async exchangeToEnd(bytes: string): Promise<string> {
    const socket = await this.connect();
    let answer = "";
    socket.on("data", (chunk) => (answer += chunk.toString()));
    socket.end(bytes, "latin1");
    await new Promise((resolve) => socket.once("close", resolve));
    return answer;
  }
}

/** Bytes of a request to the route. */
export const newRequest = (headers: string[] = [], body = ""): string =>
  [
    ...["POST /a/1 HTTP/1.1", "Host: a.example", `Content-Length: ${String(body.length)}`],
    ...[...headers, "", body],
  ].join("\r\n");

/** Status of an answer. */
export const getStatus = (answer: string): number => Number(/^HTTP\/1.1 (\d+)/.exec(answer)?.[1]);

/** Starts a listener before each test, and closes it after. */
export const useListener = (): { readonly harness: ListenerHarness } => {
  const fixture = {} as { harness: ListenerHarness };
  beforeEach(async () => {
    fixture.harness = await ListenerHarness.start();
  });
  afterEach(() => {
    fixture.harness.server.close();
  });
  return fixture;
};
