import type { IncomingMessage } from "node:http";

import { findHeadFault, findRequestFault, FloodError, ReadBudget } from "@lycheepulley/core";
import type { Dispatcher } from "undici";

import type { ConnectionWatch, WatchedAnswer } from "./ConnectionWatch.js";

const FIRST_INTERIM_STATUS = 100;
const FIRST_FINAL_STATUS = 200;
/** Pieces of a body that an interim answer counts as, of which a sound peer sends one or two. */
const INTERIM_WEIGHT = 32;

/** An answer whose head is invalid; nothing of it is taken. */
export class InvalidHeadError extends Error {
  readonly code = "ERR_INVALID_HEAD";

  constructor(fault: string) {
    super(`invalid head of an answer: ${fault}`);
    this.name = "InvalidHeadError";
  }
}

/** Finds why an answer that node:http has parsed can't be taken; undefined when it can. */
export const findInvalidHead = (res: IncomingMessage): InvalidHeadError | undefined => {
  const { statusCode: status = 0, httpVersion: version, rawHeaders: fields } = res;
  const fault = findHeadFault({ status, version, reason: res.statusMessage, fields });
  return fault === undefined ? undefined : new InvalidHeadError(fault);
};

type Handler = Required<Dispatcher.DispatchHandler>;

/** Finds why a request that node:http has parsed can't be served; undefined when it can. */
export const findInvalidRequest = ({
  httpVersion,
  rawHeaders,
}: IncomingMessage): string | undefined =>
  findRequestFault({ version: httpVersion, fields: rawHeaders });

/** Ends requests whose answer has an invalid head, or comes in more small pieces than a sound peer sends. */
export class AnswerCheck implements Dispatcher.DispatchHandler, WatchedAnswer {
  /** Watches the connection that the answer comes on. */
  watch: ConnectionWatch | undefined;
  readonly #handler: Dispatcher.DispatchHandler;
  #budget: ReadBudget | undefined;
  #controller: Dispatcher.DispatchController | undefined;

  constructor(handler: Dispatcher.DispatchHandler) {
    this.#handler = handler;
  }

  get bodyBytes(): number {
    return this.#budget?.cost.bytes ?? 0;
  }

  abort(err: Error): void {
    this.#controller?.abort(err);
  }

  onRequestStart(...args: Parameters<Handler["onRequestStart"]>): void {
    [this.#controller] = args;
    this.watch?.begin(this);
    this.#handler.onRequestStart?.(...args);
  }

  onRequestUpgrade(...args: Parameters<Handler["onRequestUpgrade"]>): void {
    this.#handler.onRequestUpgrade?.(...args);
  }

  onResponseStart(...args: Parameters<Handler["onResponseStart"]>): void {
    const [controller, status, headers, reason] = args;
    if (status >= FIRST_INTERIM_STATUS && status < FIRST_FINAL_STATUS) {
      if (this.#charge(controller, { bytes: 0, weight: INTERIM_WEIGHT })) {
        this.#handler.onResponseStart?.(...args);
      }
      return;
    }
    const fields = Object.entries(headers).flatMap(([name, values]) =>
      [values ?? []].flat().flatMap((value) => [name, value]),
    );
    const fault = findHeadFault({ status, reason, fields });
    if (fault === undefined) {
      this.#handler.onResponseStart?.(...args);
    } else {
      controller.abort(new InvalidHeadError(fault));
    }
  }

  onResponseData(...args: Parameters<Handler["onResponseData"]>): void {
    const [controller, bytes] = args;
    if (this.#charge(controller, { bytes: bytes.length })) {
      this.#handler.onResponseData?.(...args);
    }
  }

  /** Charges a piece of the answer; false when that ends the request. */
  #charge(
    controller: Dispatcher.DispatchController,
    { bytes, weight }: { bytes: number; weight?: number },
  ): boolean {
    this.#budget ??= new ReadBudget();
    const isAllowed = this.#budget.spend(bytes, weight);
    if (!isAllowed) {
      controller.abort(new FloodError(this.#budget.cost));
    }
    return isAllowed;
  }

  onResponseEnd(...args: Parameters<Handler["onResponseEnd"]>): void {
    this.watch?.end(this);
    this.#handler.onResponseEnd?.(...args);
  }

  onResponseError(...args: Parameters<Handler["onResponseError"]>): void {
    this.watch?.end(this);
    this.#handler.onResponseError?.(...args);
  }
}
