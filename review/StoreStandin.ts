import { createServer, type IncomingMessage, type ServerResponse } from "node:http";

import { closeServer, listen, readAll } from "./net.js";

interface LogRecord {
  readonly key: string;
  readonly value: Buffer;
}

const POLL_MS = 5;
const LENGTH_BYTES = 4;

/** Stand-in of the platform's store: the keyed topics and the calls of PROTOCOL.md that read and append. */
export class StoreStandin {
  readonly #topics = new Map<string, LogRecord[]>();
  readonly #server = createServer((req, res) => {
    void this.#handle(req, res);
  });

  async listen(host: string): Promise<number> {
    return listen(this.#server, host, 0);
  }

  close(): void {
    closeServer(this.#server);
  }

  /** Takes over all records of another store, at their offsets. */
  copyFrom(other: StoreStandin): void {
    other.#topics.forEach((records, topic) => this.#topics.set(topic, [...records]));
  }

  /** Writes a record as the operator or a worker does; without a value it drops the key. */
  put(topic: string, key: string, value?: object): void {
    const data = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
    this.#get(topic).push({ key, value: data });
  }

  #get(topic: string): LogRecord[] {
    const known = this.#topics.get(topic) ?? [];
    this.#topics.set(topic, known);
    return known;
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? "/", "http://store");
    const records = this.#get(url.searchParams.get("topic") ?? "");
    const body = await readAll(req);
    switch (url.pathname) {
      case "/v1/log-newest":
        this.#answerNewest(records, url.searchParams.get("after"), res);
        return;
      case "/v1/log-read":
        await this.#answerRead(records, url.searchParams, res);
        return;
      case "/v1/log-append":
        this.#append(records, body, res);
        return;
      default:
        send(res, 404, {});
    }
  }

  #answerNewest(records: readonly LogRecord[], after: string | null, res: ServerResponse): void {
    const newest = new Map<string, { value: Buffer; offset: number }>();
    records.forEach(({ key, value }, offset) => {
      newest.delete(key);
      if (value.length > 0) {
        newest.set(key, { value, offset });
      }
    });
    const items = [...newest]
      .filter(([key]) => after === null || key > after)
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([key, { value, offset }]) => ({ key, value: value.toString("base64"), offset }));
    send(res, 200, { items, truncated: false, end: records.length });
  }

  async #answerRead(
    records: readonly LogRecord[],
    query: URLSearchParams,
    res: ServerResponse,
  ): Promise<void> {
    const from = Number(query.get("from") ?? "0");
    const untilMs = Date.now() + Number(query.get("wait_ms") ?? "0");
    while (records.length <= from && Date.now() < untilMs && !res.destroyed) {
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(records.length));
    const content = records.slice(from).map(({ key, value }) => encode(key, value));
    const body = Buffer.concat([head, ...content]);
    res.writeHead(200, { "content-length": String(body.length) });
    res.end(body);
  }

  #append(records: LogRecord[], body: Buffer, res: ServerResponse): void {
    const offset = records.length;
    let at = 0;
    while (at < body.length) {
      const length = body.readUInt32BE(at);
      const record = body.subarray(at + LENGTH_BYTES, at + LENGTH_BYTES + length);
      const keyLength = record[0] ?? 0;
      const key = record.subarray(1, 1 + keyLength).toString();
      records.push({ key, value: record.subarray(1 + keyLength) });
      at += LENGTH_BYTES + length;
    }
    send(res, 200, { offset, end: records.length });
  }
}

const encode = (key: string, value: Buffer): Buffer => {
  const keyBytes = Buffer.from(key);
  const record = Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value]);
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(record.length);
  return Buffer.concat([length, record]);
};

const send = (res: ServerResponse, status: number, value: object): void => {
  const body = Buffer.from(JSON.stringify(value));
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": String(body.length),
  });
  res.end(body);
};
