import { Client, Pool, type buildConnector, type Dispatcher } from "undici";

import { AnswerCheck } from "./answerChecks.js";
import { ConnectionWatch } from "./ConnectionWatch.js";

/** The checks of requests that were handed to a pool, by the options that it passes on to its clients. */
const checks = new WeakMap<Dispatcher.DispatchOptions, AnswerCheck>();

/** Client that tells the check of each answer which connection it comes on. */
class CheckedClient extends Client {
  readonly #watch: ConnectionWatch;

  constructor(origin: URL, options: Client.Options, watch: ConnectionWatch) {
    super(origin, options);
    this.#watch = watch;
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    const check = checks.get(options);
    if (check) {
      check.watch = this.#watch;
    }
    return super.dispatch(options, handler);
  }
}

interface PoolOptions {
  readonly connect: buildConnector.connector;
  readonly connections: number;
  readonly keepAliveTimeout?: number;
}

/** A pool of connections that takes only answers with a valid head, and a body in sound pieces and framing. */
export const newCheckedPool = (origin: string, options: PoolOptions): Dispatcher =>
  new Pool(origin, {
    ...options,
    pipelining: 1,
    factory: (url, clientOptions) => {
      const watch = new ConnectionWatch(options.connect);
      return new CheckedClient(url, { ...clientOptions, connect: watch.connect }, watch);
    },
  }).compose((dispatch) => (request, handler) => {
    const check = new AnswerCheck(handler);
    checks.set(request, check);
    return dispatch(request, check);
  });
