import { PeerState } from "@lycheepulley/forwarding";
import { expect } from "chai";
import { z } from "zod";

import { asksForLoads } from "./LoadExchange.js";
import {
  heartbeatBatchParser,
  heartbeatParser,
  loadBatchParser,
  loadChangeParser,
  PROTOCOL,
} from "./peerMessages.js";

/** Messages as the build 5550f90 sends them. */
const ITEM = {
  ...{ id: "r1", pool: "engines", phase: "reading", upstream: "u1", helpers: ["u2"] },
  ...{ readMs: 21, kvTokens: 5_000, heldTokens: [0], maxGapMs: 250, targetLeftMs: 300 },
  ...{ deadlineLeftMs: 8_000, value: 1.5, isLate: false },
};
const IDENTITY = {
  ...{ host: "10.1.0.40", incarnation: 1_780_032_924_065, failureDomain: "a", capacity: 0.675 },
  ...{ callerAddress: "10.1.0.40:8227", state: "live", revision: 9, listEpoch: 2 },
  ...{ listVersion: 41, listDigest: "d", reads: { configMs: 12, listMs: 3 }, beatMs: 300, beat: 7 },
};
const HEARTBEAT = { identity: IDENTITY, hosts: ["10.1.0.41"], seq: 12, items: [ITEM] };
const EVACUATIONS = { epoch: 2, version: 41, domains: ["a"], held: ["b"] };
const CHANGE = {
  ...{ host: "10.1.0.40", incarnation: 1_780_032_924_065, seq: 13, changed: [ITEM] },
  ...{ writing: ["r2"], ended: ["r3"] },
};

/** How the build 5550f90 reads messages. */
const amount = z.number().nonnegative();
const earlierItem = z.object({
  ...{ id: z.string().max(64), pool: z.string(), phase: z.enum(["reading", "writing"]) },
  ...{ upstream: z.string(), helpers: z.array(z.string()), readMs: amount, kvTokens: amount },
  ...{ heldTokens: z.array(amount), maxGapMs: z.number().positive(), targetLeftMs: z.number() },
  ...{ deadlineLeftMs: z.number(), value: amount, isLate: z.boolean() },
  isApart: z.boolean().optional(),
});
const earlierHeartbeat = z.object({
  identity: z.object({
    ...{ host: z.string(), incarnation: z.number(), failureDomain: z.string() },
    ...{ capacity: z.number(), callerAddress: z.string(), revision: z.number() },
    state: z.enum([PeerState.Joining, PeerState.Live, PeerState.Leaving]),
    ...{ listEpoch: z.number().optional(), listVersion: z.number(), listDigest: z.string() },
    reads: z.object({ configMs: z.number().optional(), listMs: z.number().optional() }),
    ...{ beatMs: amount, beat: z.number().int().optional() },
  }),
  hosts: z.array(z.string()).max(8),
  seq: z.number().int(),
  items: z.array(earlierItem).optional(),
});
const earlierChange = z.object({
  ...{ host: z.string(), incarnation: z.number(), seq: z.number().int() },
  ...{ changed: z.array(earlierItem), writing: z.array(z.string()), ended: z.array(z.string()) },
});

/** Guards against peers of two builds that don't understand each other while a fleet is upgraded. */
describe("messages between this build and 5550f90", () => {
  const received = [
    { name: "heartbeats", parser: heartbeatParser, message: HEARTBEAT },
    {
      name: "batches of heartbeats",
      parser: heartbeatBatchParser,
      message: { beats: [HEARTBEAT] },
    },
    { name: "load changes", parser: loadChangeParser, message: CHANGE },
    { name: "batches of load changes", parser: loadBatchParser, message: { changes: [CHANGE] } },
  ];
  for (const { name, parser, message } of received) {
    it(`reads ${name} of the earlier build whole`, () => {
      const read = parser.safeParse(JSON.parse(JSON.stringify(message)));
      expect(read).to.deep.equal({ success: true, data: message });
    });
  }

  it("takes a process that names no protocol for one that doesn't ask for loads", () => {
    const read = heartbeatParser.safeParse(HEARTBEAT);
    expect(read.success && asksForLoads(read.data.identity)).to.equal(false);
    expect(asksForLoads({ protocol: PROTOCOL })).to.equal(true);
  });

  // Guards against peers that fall silent because of what they state beside.
  it("reads a heartbeat without a statement of evacuations that isn't one", () => {
    const identity = { ...IDENTITY, evacuations: { version: "x" } };
    const read = heartbeatParser.safeParse({ ...HEARTBEAT, identity });
    expect(read.success && read.data.identity.evacuations).to.equal(undefined);
    expect(read.success).to.equal(true);
  });

  const sent: readonly [string, z.ZodType, object, object][] = [
    [
      "heartbeats",
      earlierHeartbeat,
      { ...HEARTBEAT, identity: { ...IDENTITY, protocol: PROTOCOL, evacuations: EVACUATIONS } },
      HEARTBEAT,
    ],
    [
      "heartbeats without requests",
      earlierHeartbeat,
      { identity: { ...IDENTITY, protocol: PROTOCOL }, hosts: [], seq: 12 },
      { identity: IDENTITY, hosts: [], seq: 12 },
    ],
    ["load changes", earlierChange, CHANGE, CHANGE],
    [
      "load changes with expected costs",
      earlierChange,
      { ...CHANGE, changed: [{ ...ITEM, writeMs: 1_200 }] },
      CHANGE,
    ],
    [
      "prompts that wait for room",
      earlierChange,
      {
        ...CHANGE,
        changed: [
          {
            ...{ ...ITEM, outputTokens: 800 },
            promise: { inMs: 700, neededInMs: 900, forMs: 3_000, place: 2, renewal: 1 },
          },
        ],
      },
      CHANGE,
    ],
  ];
  for (const [name, schema, message, read] of sent) {
    it(`sends ${name} that the earlier build reads`, () => {
      expect(schema.parse(JSON.parse(JSON.stringify(message)))).to.deep.equal(read);
    });
  }
});
