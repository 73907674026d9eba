import type { Clock } from "@lycheepulley/core";
import { HttpServer, sendJson } from "@lycheepulley/http";

import { LogStandin } from "./LogStandin.js";
import { VmListStandin } from "./VmListStandin.js";

const WEIGHT_BYTES = 30_000_000_000;
const CONCURRENT_LOADS = 2;

export interface PlatformStandinOptions {
  readonly host: string;
  readonly port: number;
  readonly clock: Clock;
  readonly appendsPerS?: number;
  readonly logDelayMs?: number;
  readonly retentionMs?: number;
  readonly vmListLagMs?: number;
}

/** Log, VM list and weight store of the platform on one port. */
export class PlatformStandin {
  readonly log: LogStandin;
  readonly vmList: VmListStandin;
  readonly #server: HttpServer;
  readonly #options: PlatformStandinOptions;

  constructor(options: PlatformStandinOptions) {
    const { clock } = options;
    this.#options = options;
    this.log = new LogStandin({
      clock,
      appendsPerS: options.appendsPerS ?? 300,
      delayMs: options.logDelayMs ?? 10,
      retentionMs: options.retentionMs ?? 86_400_000,
    });
    this.vmList = new VmListStandin({ clock, lagMs: options.vmListLagMs ?? 1_000 });
    this.#server = new HttpServer(
      [
        ...this.log.routes,
        ...this.vmList.routes,
        {
          method: "GET",
          path: "/v1/weights/:model/:version",
          handle: (_req, res) => {
            sendJson(res, 200, { bytes: WEIGHT_BYTES, maxConcurrentLoads: CONCURRENT_LOADS });
          },
        },
      ],
      (err, _req, res) => {
        sendJson(res, 400, { error: String(err) });
      },
    );
  }

  get port(): number {
    return this.#server.port;
  }

  listen(): Promise<void> {
    return this.#server.listen(this.#options.host, this.#options.port);
  }

  close(): Promise<void> {
    return this.#server.close();
  }
}
