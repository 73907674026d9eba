import { SeededRandom, TokenBucket, type Clock } from "@lycheepulley/core";
import { expect } from "chai";

import type { LogClient } from "./LogClient.js";
import { LogWriter } from "./LogWriter.js";

const CLOCK: Clock = { now: () => 0, wall: () => 0, setTimer: () => () => undefined };
const MAX_APPEND_BYTES = 128_000;

describe("LogWriter", () => {
  const CASES = [
    { name: "of one byte each", char: "x", records: 8, appends: 1 },
    { name: "of three bytes each", char: "€", records: 8, appends: 4 },
  ];
  for (const { name, char, records, appends } of CASES) {
    // Guards against appends over the limit, as characters were counted as bytes.
    it(`fills appends up to the limit with records of characters ${name}`, async () => {
      const sizes: number[] = [];
      const log = {
        append: (_stream: string, data: string) => {
          sizes.push(Buffer.byteLength(data));
          return Promise.resolve(0);
        },
      } as unknown as LogClient;
      const writer = new LogWriter({
        ...{ log, stream: "s", clock: CLOCK, random: new SeededRandom(1), writer: "p/1" },
        budget: new TokenBucket({ clock: CLOCK, ratePerS: 1, burst: 10 }),
      });
      const body = char.repeat(15_000);
      await Promise.all(
        Array.from(
          { length: records },
          (_, i) => writer.submit({ kind: "note", key: String(i), follows: null, body }).appended,
        ),
      );
      expect(sizes).to.have.length(appends);
      expect(Math.max(...sizes)).to.be.at.most(MAX_APPEND_BYTES);
    });
  }
});
