import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

import { readBody, sendJson } from "./http.js";
import { sleep } from "./net.js";

const OFFSET_BYTES = 8;
const LENGTH_BYTES = 4;
const POLL_MS = 5;

interface StoredRecord {
  readonly key: string;
  readonly value: Buffer;
  readonly offset: number;
}

const toBytes = ({ key, value }: StoredRecord): Buffer => {
  const keyBytes = Buffer.from(key);
  const record = Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value]);
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(record.length);
  return Buffer.concat([length, record]);
};

/** A sound stand-in of the platform's store: keyed topics with one partition, kept in memory. */
export class StoreStandin {
  readonly #topics = new Map<string, StoredRecord[]>();
  readonly #server: Server;

  constructor() {
    this.#server = createServer((req, res) => {
      this.#handle(req, res).catch(() => res.destroy());
    });
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  listen(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.listen(0, "127.0.0.1", resolve);
    });
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Sets a key, as the operator or a worker does; without a value, drops it. */
  put(topic: string, key: string, value?: object): void {
    this.#append(topic, key, value ? Buffer.from(JSON.stringify(value)) : Buffer.alloc(0));
  }

  #get(topic: string): StoredRecord[] {
    const records = this.#topics.get(topic) ?? [];
    this.#topics.set(topic, records);
    return records;
  }

  #append(topic: string, key: string, value: Buffer): void {
    const records = this.#get(topic);
    records.push({ key, value, offset: records.length });
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? "/", "http://store");
    const topic = url.searchParams.get("topic") ?? "";
    switch (url.pathname) {
      case "/v1/log-newest":
        this.#sendNewest(topic, res);
        return;
      case "/v1/log-read":
        await this.#sendRecords(topic, url.searchParams, res);
        return;
      case "/v1/log-append":
        this.#appendAll(topic, await readBody(req));
        sendJson(res, 200, { end: this.#get(topic).length });
        return;
      default:
        sendJson(res, 404, {});
    }
  }

  #appendAll(topic: string, body: Buffer): void {
    for (let at = 0; at < body.length;) {
      const end = at + LENGTH_BYTES + body.readUInt32BE(at);
      const record = body.subarray(at + LENGTH_BYTES, end);
      const keyEnd = 1 + (record[0] ?? 0);
      this.#append(topic, record.subarray(1, keyEnd).toString(), record.subarray(keyEnd));
      at = end;
    }
  }

  #sendNewest(topic: string, res: ServerResponse): void {
    const records = this.#get(topic);
    const newest = new Map(records.map((record) => [record.key, record]));
    const items = [...newest.values()]
      .filter(({ value }) => value.length > 0)
      .map(({ key, value, offset }) => ({ key, value: value.toString("base64"), offset }));
    sendJson(res, 200, { items, truncated: false, end: records.length });
  }

  async #sendRecords(topic: string, query: URLSearchParams, res: ServerResponse): Promise<void> {
    const from = Number(query.get("from") ?? 0);
    const untilMs = performance.now() + Number(query.get("wait_ms") ?? 0);
    while (this.#get(topic).length <= from && performance.now() < untilMs && !res.destroyed) {
      await sleep(POLL_MS);
    }
    const records = this.#get(topic);
    const head = Buffer.alloc(2 * OFFSET_BYTES);
    head.writeBigUInt64BE(BigInt(records.length));
    res.end(Buffer.concat([head, ...records.slice(from).map(toBytes)]));
  }
}
