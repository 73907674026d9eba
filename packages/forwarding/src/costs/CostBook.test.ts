import { SeededRandom } from "@lycheepulley/core";
import { expect } from "chai";

import { ManualClock } from "../testing/ManualClock.js";
import { CostBook, CostKind, MAX_COST_REPORTS, type CostKey } from "./CostBook.js";
import { CostSketch } from "./CostSketch.js";

const KEY: CostKey = { pool: "engines", route: "short", customer: "acme" };
const MINUTE_MS = 60_000;
/** Quantiles are exact up to the width of a bucket. */
const TOLERANCE = 0.08;

const expectNear = (value: number | undefined, expected: number): void => {
  expect(Math.abs(Math.log((value ?? 0) / expected))).to.be.below(TOLERANCE);
};

const newBook = (): { clock: ManualClock; book: CostBook } => {
  const clock = new ManualClock();
  return { clock, book: new CostBook(clock) };
};

/** Records whole answers of the same length. */
const teach = (
  book: CostBook,
  options: { key?: CostKey; tokens: number; hintTokens?: number; count?: number },
): void => {
  const { key = KEY, tokens, hintTokens, count = 60 } = options;
  for (let at = 0; at < count; at++) {
    book.recordLength(key, { limitTokens: 4_000, hintTokens }, tokens);
  }
};

const getTokens = (book: CostBook, key = KEY, hintTokens?: number): number =>
  book.estimateLength(key, { limitTokens: 4_000, hintTokens }).tokens;

describe("CostSketch", () => {
  it("keeps the quantiles of a long tail", () => {
    const random = new SeededRandom(1);
    const sketch = new CostSketch(MINUTE_MS, 0);
    const values = Array.from({ length: 2_000 }, () => 60 * -Math.log(1 - random.next()));
    values.forEach((value) => {
      sketch.record(value, 0);
    });
    values.sort((a, b) => a - b);
    for (const quantile of [0.1, 0.5, 0.95]) {
      expectNear(sketch.getQuantile(quantile), values[quantile * values.length] ?? 0);
    }
  });

  for (const value of [0, -1, NaN, Infinity]) {
    it(`leaves out ${String(value)}`, () => {
      const sketch = new CostSketch(MINUTE_MS, 0);
      sketch.record(value, 0);
      expect(sketch.getWeight(0)).to.equal(0);
    });
  }

  it("halves the weight of values in their half-life, for hours", () => {
    const sketch = new CostSketch(MINUTE_MS, 0);
    sketch.record(5, 0, 8);
    expect(sketch.getWeight(MINUTE_MS)).to.equal(4);
    sketch.record(5, 500 * MINUTE_MS);
    expect(sketch.getWeight(500 * MINUTE_MS)).to.be.within(1, 1.001);
  });
});

describe("CostBook: the length of an answer", () => {
  it("is what the caller states while nothing was seen", () => {
    const { book } = newBook();
    const stated = { limitTokens: 4_000, hintTokens: 700 };
    expect(book.estimateLength(KEY, stated)).to.deep.equal({ tokens: 700, memoryTokens: 4_000 });
  });

  it("differs tenfold for customers whose requests look alike", () => {
    const { book } = newBook();
    const other = { ...KEY, customer: "brief" };
    teach(book, { tokens: 2_000 });
    teach(book, { tokens: 200, key: other });
    expectNear(getTokens(book), 2_000);
    expectNear(getTokens(book, other), 200);
  });

  it("is that of the route for a customer who was never seen, and that of the pool on a new route", () => {
    const { book } = newBook();
    teach(book, { tokens: 1_000 });
    expectNear(getTokens(book, { ...KEY, customer: "new" }), 1_000);
    expectNear(getTokens(book, { ...KEY, route: "new", customer: "new" }), 1_000);
    expect(getTokens(book, { ...KEY, pool: "new" })).to.equal(4_000);
  });

  it("follows the hint of callers who know it", () => {
    const { book } = newBook();
    [200, 700, 2_500].forEach((tokens) => {
      teach(book, { tokens, hintTokens: tokens });
    });
    expectNear(getTokens(book, KEY, 2_500), 2_500);
    expectNear(getTokens(book, KEY, 200), 200);
  });

  it("doesn't follow a hint that lies", () => {
    const { book } = newBook();
    [40, 400, 4_000].forEach((hintTokens) => {
      teach(book, { tokens: 1_000, hintTokens });
    });
    expectNear(getTokens(book, KEY, 40), 1_000);
    expectNear(getTokens(book, KEY, 4_000), 1_000);
  });

  it("follows a cost that changes in the middle of a day", async () => {
    const { clock, book } = newBook();
    teach(book, { tokens: 300, count: 500 });
    await clock.advance(3 * MINUTE_MS);
    teach(book, { tokens: 2_000, count: 100 });
    expectNear(getTokens(book), 2_000);
  });

  it("is planned in memory on what few answers exceed, and on the limit while little was seen", () => {
    const { book } = newBook();
    const stated = { limitTokens: 4_000, hintTokens: undefined };
    teach(book, { tokens: 500, count: 30 });
    expect(book.estimateLength(KEY, stated).memoryTokens).to.equal(4_000);
    teach(book, { tokens: 500, count: 60 });
    teach(book, { tokens: 3_000, count: 10 });
    expectNear(book.estimateLength(KEY, stated).memoryTokens, 3_000);
  });
});

describe("CostBook: what is kept and told", () => {
  it("keeps a bounded number of keys, whatever callers send", () => {
    const { book } = newBook();
    for (let at = 0; at < 2_000; at++) {
      teach(book, { tokens: 100, count: 1, key: { ...KEY, customer: `c${String(at)}` } });
    }
    expect(book.size).to.be.at.most(256);
    expectNear(getTokens(book), 100);
  });

  it("starts from the summary of a peer, and trusts what it sees itself", () => {
    const [peer, started] = [newBook().book, newBook().book];
    teach(peer, { tokens: 1_000 });
    peer.record(CostKind.Call, { ...KEY, route: "lookup" }, 40);
    const summary = peer.getSummary();
    expect(summary.costs.length).to.be.within(1, MAX_COST_REPORTS);
    started.recordPeer(JSON.parse(JSON.stringify(summary)) as typeof summary);
    expectNear(getTokens(started), 1_000);
    teach(started, { tokens: 250 });
    started.recordPeer(summary);
    expectNear(getTokens(started), 250);
  });
});

describe("UpstreamPaces", () => {
  const observe = (book: CostBook, ratio: number, count: number, takenShare = 0): void => {
    for (let at = 0; at < count; at++) {
      book.paces.record("u1", ratio, takenShare);
    }
  };

  it("draws the pace of an upstream to that of others while little tells", () => {
    const { book } = newBook();
    expect(book.paces.get("u1", 0)).to.equal(1);
    observe(book, 2, 1);
    expect(book.paces.get("u1", 0)).to.be.within(1.4, 1.7);
    observe(book, 2, 20);
    expectNear(book.paces.get("u1", 0), 2);
  });

  it("knows an upstream that slows down when it is nearly full", () => {
    const { book } = newBook();
    observe(book, 1, 20);
    observe(book, 2.5, 20, 0.9);
    expectNear(book.paces.get("u1", 0.2), 1);
    expectNear(book.paces.get("u1", 0.9), 2.5);
  });

  it("forgets the slow seconds after a start", async () => {
    const { clock, book } = newBook();
    observe(book, 3, 10);
    await clock.advance(2 * MINUTE_MS);
    expect(book.paces.get("u1", 0)).to.be.below(1.4);
    observe(book, 1, 3);
    expectNear(book.paces.get("u1", 0), 1);
  });

  it("passes on what peers know without adding up what comes back", () => {
    const [seen, told] = [newBook().book, newBook().book];
    observe(seen, 2, 10);
    for (let round = 0; round < 20; round++) {
      told.paces.recordPeer(seen.paces.getReports());
      seen.paces.recordPeer(told.paces.getReports());
    }
    expect(Math.max(...told.paces.getReports().map(({ weight }) => weight))).to.be.at.most(10);
    expect(told.paces.get("u1", 0)).to.be.within(1.6, 2.1);
  });

  for (const pace of [1e-300, 1e300]) {
    it(`isn't held for long at what a peer says that can't be: ${String(pace)}`, () => {
      const { book } = newBook();
      book.paces.recordPeer([{ upstream: "u1", pace, weight: 30 }]);
      for (let count = 0; count < 8; count++) {
        book.paces.recordPeer([{ upstream: "u1", pace: 1, weight: 30 }]);
      }
      expect(book.paces.get("u1", 0)).to.equal(1);
    });
  }

  it("forgets upstreams that are gone", () => {
    const { book } = newBook();
    observe(book, 2, 10);
    observe(book, 2, 10, 1);
    book.paces.retain(new Set(["u2"]));
    expect(book.paces.getReports()).to.deep.equal([]);
    expect(book.paces.get("u1", 1)).to.equal(1);
  });
});
