import type { MessageParser } from "@lycheepulley/nodes";
import { expect } from "chai";
import fc from "fast-check";
import type { z } from "zod";

import {
  heartbeatBatchParser,
  heartbeatBatchSchema,
  heartbeatParser,
  heartbeatSchema,
  loadAnswerParser,
  loadAnswerSchema,
  loadBatchParser,
  loadBatchSchema,
  loadChangeParser,
  loadChangeSchema,
} from "./peerMessages.js";

const amount = fc.oneof(fc.nat(), fc.double({ min: 0, noNaN: true, noDefaultInfinity: true }));
const number = fc.oneof(fc.integer(), fc.double({ noNaN: true, noDefaultInfinity: true }));
const place = fc.integer({ min: 1 });
const promise = fc.record(
  {
    ...{ inMs: amount, neededInMs: amount, forMs: amount, place, renewal: fc.nat() },
    returnKey: fc.string({ maxLength: 64 }),
  },
  { requiredKeys: ["inMs", "neededInMs", "forMs", "place", "renewal"] },
);
const item = fc.record(
  {
    ...{ id: fc.string({ maxLength: 64 }), pool: fc.string(), upstream: fc.string() },
    phase: fc.constantFrom("reading", "writing"),
    helpers: fc.array(fc.string(), { maxLength: 2 }),
    heldTokens: fc.array(amount, { maxLength: 2 }),
    ...{ readMs: amount, kvTokens: amount, maxGapMs: fc.integer({ min: 1 }), value: amount },
    ...{ targetLeftMs: number, deadlineLeftMs: number, isLate: fc.boolean() },
    ...{ outputTokens: amount, promise },
  },
  {
    // Older builds don't send the last four.
    requiredKeys: [
      ...(["id", "pool", "upstream", "phase", "helpers", "heldTokens", "readMs"] as const),
      ...(["kvTokens", "maxGapMs", "value", "targetLeftMs"] as const),
    ],
  },
);
const items = fc.array(item, { maxLength: 2 });
const identity = fc.record(
  {
    ...{ host: fc.string(), failureDomain: fc.string(), callerAddress: fc.string() },
    ...{ incarnation: number, capacity: number, revision: number, listVersion: number },
    state: fc.constantFrom("joining", "live", "leaving"),
    listDigest: fc.string(),
    reads: fc.record({ configMs: number, listMs: number }, { requiredKeys: [] }),
    ...{ beatMs: amount, beat: fc.integer(), listEpoch: fc.nat(), protocol: fc.integer() },
  },
  {
    requiredKeys: [
      ...(["host", "failureDomain", "callerAddress", "incarnation", "capacity"] as const),
      ...(["revision", "listVersion", "state", "listDigest", "reads", "beatMs"] as const),
    ],
  },
);
const heartbeat = fc.record(
  { identity, hosts: fc.array(fc.string(), { maxLength: 8 }), seq: fc.integer(), items },
  { requiredKeys: ["identity", "hosts", "seq"] },
);
const change = fc.record({
  ...{ host: fc.string(), incarnation: number, seq: fc.integer(), changed: items },
  ...{ writing: fc.array(fc.string()), ended: fc.array(fc.string()) },
});

const codedLoad = fc.tuple(
  fc.string(),
  fc.array(amount, { minLength: 11, maxLength: 11 }),
  fc.array(amount, { maxLength: 4 }),
  fc.array(number, { maxLength: 4 }),
);
const codedClaim = fc.tuple(
  fc.string(),
  fc.string(),
  fc.array(amount, { minLength: 5, maxLength: 5 }),
);
const answer = fc.record(
  {
    question: fc.integer(),
    isWhole: fc.boolean(),
    loads: fc.array(codedLoad, { maxLength: 2 }),
    claims: fc.array(codedClaim, { maxLength: 2 }),
  },
  { requiredKeys: ["question", "isWhole", "loads"] },
);

/** Values that fields may wrongly have. */
const wrong = fc.constantFrom<unknown>(
  ...[undefined, null, NaN, Infinity, -1, 0, 0.5, 2 ** 60, "", "x".repeat(65), true],
  ...[[], [null], [1], [""], {}, Array.from({ length: 9 }, () => "h")],
);

/** Replaces the value at a random path of objects and arrays. */
const corrupt = (value: unknown, path: readonly number[], replacement: unknown): unknown => {
  const [step, ...rest] = path;
  if (step === undefined || typeof value !== "object" || value === null) {
    return replacement;
  }
  const keys = Object.keys(value);
  const key = keys[step % Math.max(1, keys.length)];
  if (key === undefined) {
    return replacement;
  }
  const copy = (Array.isArray(value) ? [...(value as unknown[])] : { ...value }) as Record<
    string,
    unknown
  >;
  copy[key] = corrupt(copy[key], rest, replacement);
  return copy;
};

const cases: readonly {
  name: string;
  arbitrary: fc.Arbitrary<unknown>;
  parser: MessageParser<unknown>;
  schema: z.ZodType;
}[] = [
  { name: "heartbeat", arbitrary: heartbeat, parser: heartbeatParser, schema: heartbeatSchema },
  {
    ...{ name: "heartbeat batch", parser: heartbeatBatchParser, schema: heartbeatBatchSchema },
    arbitrary: fc.record({ beats: fc.array(heartbeat, { maxLength: 2 }) }),
  },
  { name: "load answer", arbitrary: answer, parser: loadAnswerParser, schema: loadAnswerSchema },
  { name: "load change", arbitrary: change, parser: loadChangeParser, schema: loadChangeSchema },
  {
    ...{ name: "load batch", parser: loadBatchParser, schema: loadBatchSchema },
    arbitrary: fc.record({ changes: fc.array(change, { maxLength: 2 }) }),
  },
];

describe("parsers of peer messages", () => {
  for (const { name, arbitrary, parser, schema } of cases) {
    it(`read a valid ${name} as the schema does`, () => {
      fc.assert(
        fc.property(arbitrary, (message) => {
          const value: unknown = JSON.parse(JSON.stringify(message));
          const parsed = parser.safeParse(value);
          expect(parsed).to.deep.equal({ success: true, data: schema.parse(value) });
        }),
        { seed: 21 },
      );
    });

    // A field of the wrong type would otherwise reach the load of all upstreams.
    it(`reject a ${name} that the schema rejects, and no other`, () => {
      fc.assert(
        fc.property(
          ...[arbitrary, fc.array(fc.nat({ max: 20 }), { maxLength: 6 }), wrong],
          (message, path, replacement) => {
            const value = corrupt(message, path as number[], replacement);
            const parsed = parser.safeParse(value);
            const expected = schema.safeParse(value);
            expect(parsed.success).to.equal(expected.success);
          },
        ),
        { seed: 21, numRuns: 1_000 },
      );
    });
  }
});
