import type { Clock } from "@lycheepulley/core";
import { HttpServer, sendJson } from "@lycheepulley/http";

import { LogStandin } from "./LogStandin.js";
import { VmListStandin } from "./VmListStandin.js";

/** Size that the weight store reports for every model version. */
const WEIGHT_BYTES = 30_000_000_000;
const MAX_CONCURRENT_LOADS = 2;

export interface PlatformStandinOptions {
  readonly host: string;
  readonly port: number;
  readonly clock: Clock;
  /** Rate limit of the log. */
  readonly appendsPerS?: number;
  /** Time from an append request to its response. */
  readonly logDelayMs?: number;
  /** Age at which log entries are dropped. */
  readonly retentionMs?: number;
  /** Time until a change shows in the VM list. */
  readonly vmListLagMs?: number;
}

/** Serves simulations of the platform's log, VM list and weight store on one port. */
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
            sendJson(res, 200, { bytes: WEIGHT_BYTES, maxConcurrentLoads: MAX_CONCURRENT_LOADS });
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
