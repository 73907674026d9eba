import type { Incident, Pattern, PromptClass, Surge } from "./pattern.js";

const SHORT: PromptClass = {
  ...{ name: "short", perSecond: 25, targetMs: 300, maxGapMs: 200, deadlineMs: 10_000 },
  promptTokens: { mean: 5_000, spread: 0.9, max: 24_000 },
  outputTokens: { mean: 1_600, spread: 0.7, max: 4_000 },
  ...{ worth: 1.3, lateWorth: 0.33 },
};
const MEDIUM: PromptClass = {
  ...{ name: "medium", perSecond: 1.8, targetMs: 1_500, maxGapMs: 500, deadlineMs: 10_000 },
  promptTokens: { mean: 45_000, spread: 0.5, max: 110_000 },
  outputTokens: { mean: 970, spread: 0.6, max: 2_400 },
  ...{ worth: 3, lateWorth: 0.8 },
};
const LONG: PromptClass = {
  ...{ name: "long", perSecond: 0.75, targetMs: 3_000, maxGapMs: 800, deadlineMs: 15_000 },
  promptTokens: { mean: 210_000, spread: 0.55, max: 1_000_000 },
  outputTokens: { mean: 800, spread: 0.5, max: 2_000 },
  ...{ worth: 22, lateWorth: 5.4 },
};

const FLEET: Omit<Pattern, "name" | "surges" | "incidents"> = {
  ...{ lengthMs: 30_000, processes: 9, upstreams: 16, chunkTokens: 2_048, queueSlots: 22 },
  engine: {
    ...{ slots: 11, kvTokens: 450_000, stepsPerPass: 46, stepMs: 0.925 },
    ...{ stepMsPerSequence: 0.00483, stepMsPerThousandContext: 0.00254 },
    ...{ readTokensPerMs: 256, msPerMillionPairs: 0.0917, hopMs: 0.1 },
  },
  classes: [SHORT, MEDIUM, LONG],
};

/** The same load on fewer, slower engines with other objectives. */
const SMALL_FLEET: typeof FLEET = {
  ...{ ...FLEET, processes: 4, upstreams: 8, chunkTokens: 1_024, queueSlots: 8 },
  engine: {
    ...{ slots: 16, kvTokens: 200_000, stepsPerPass: 20, stepMs: 2.1 },
    ...{ stepMsPerSequence: 0.02, stepMsPerThousandContext: 0.006 },
    ...{ readTokensPerMs: 120, msPerMillionPairs: 0.2, hopMs: 0.1 },
  },
  classes: [
    {
      ...{ ...SHORT, perSecond: 18, targetMs: 500, maxGapMs: 350 },
      outputTokens: { mean: 600, spread: 0.7, max: 1_500 },
    },
    { ...MEDIUM, perSecond: 1, targetMs: 2_500, maxGapMs: 900 },
    { ...LONG, perSecond: 0.2, targetMs: 6_000, maxGapMs: 1_500, worth: 12, lateWorth: 3 },
  ],
};

/** Customers with as much to ask for each, one of whom asks for a multiple of it for some time. */
const newCustomers = (count: number, factor: number): NonNullable<Pattern["customers"]> =>
  Array.from({ length: count }, (_, index) => ({
    ...{ name: `c${String(index)}`, part: 1 / count },
    surges: index === 0 ? [{ atMs: 4_000, forMs: 20_000, factor }] : [],
  }));

/** Many processes that hear of each other's load through relays. */
const LARGE_FLEET: typeof FLEET = {
  ...{ ...FLEET, lengthMs: 10_000, processes: 30, upstreams: 54, loadBatchMs: 60 },
  queueSlots: 16,
  engine: { ...FLEET.engine, slots: 8, kvTokens: 382_500, stepsPerPass: 52 },
  classes: [
    { ...SHORT, perSecond: 64.5, targetMs: 309 },
    { ...MEDIUM, perSecond: 5.9 },
    { ...LONG, perSecond: 1.75, targetMs: 4_000, worth: 30, lateWorth: 7.5 },
  ],
};

/** The same with processes that ask the relay of their failure domain for loads. */

const ASKING_FLEET: typeof FLEET = { ...LARGE_FLEET, loadBatchMs: undefined, failureDomains: 3 };

/** Callers who state far more than the usual length, on engines of unequal pace. */
const UNEQUAL_FLEET: typeof FLEET = {
  ...{ ...FLEET, paces: [1, 0.8, 1.25, 1, 2] },
  classes: FLEET.classes.map((prompt) => ({
    ...prompt,
    stated: { limitTokens: 2 * prompt.outputTokens.max, hintSpread: 0.8 },
  })),
};

const SHORT_SURGE = { short: 2.4, medium: 0.5, long: 0.05 };
const LONG_SURGE = { short: 0.35, medium: 1.3, long: 2.6 };

const newPattern = (
  name: string,
  surges: Pattern["surges"],
  incidents: Incident[] = [],
  fleet = FLEET,
): Pattern => ({ ...fleet, name, surges, incidents });

const during = (atMs: number, forMs: number, factors: Record<string, number>): Surge => ({
  ...{ atMs, forMs, factors },
});

const BY_TURNS = [
  during(2_000, 9_500, SHORT_SURGE),
  during(12_000, 9_500, LONG_SURGE),
  during(22_000, 8_000, SHORT_SURGE),
];
const REPLACED: Incident = { kind: "replace", atMs: 22_800, count: 7, gapMs: 900 };

/** Loads and incidents that placement is compared under. */
export const PATTERNS: readonly Pattern[] = [
  newPattern("steady", []),
  newPattern("surge-of-short", [during(4_000, 20_000, SHORT_SURGE)]),
  newPattern("surge-of-long", [during(4_000, 20_000, LONG_SURGE)]),
  newPattern("surges-by-turns", BY_TURNS),
  newPattern("surges-while-replaced", BY_TURNS, [
    { kind: "scaleIn", atMs: 15_000, count: 2 },
    REPLACED,
  ]),
  newPattern(
    "long-surge-while-replaced",
    [during(4_000, 20_000, LONG_SURGE)],
    [{ ...REPLACED, atMs: 8_000 }],
  ),
  newPattern(
    "crash-in-long-surge",
    [during(4_000, 20_000, LONG_SURGE)],
    [{ kind: "crash", atMs: 10_000, count: 2, backMs: 4_000 }],
  ),
  newPattern(
    "restart-while-busy",
    [during(4_000, 20_000, SHORT_SURGE)],
    [{ kind: "restart", atMs: 14_000, downMs: 1_400 }],
  ),
  newPattern("large-fleet-surge-of-short", [during(2_000, 8_000, SHORT_SURGE)], [], LARGE_FLEET),
  newPattern("large-fleet-surge-of-long", [during(2_000, 8_000, LONG_SURGE)], [], LARGE_FLEET),
  newPattern(
    "large-fleet-crash-in-long-surge",
    [during(2_000, 8_000, LONG_SURGE)],
    [{ kind: "crash", atMs: 4_000, count: 2, backMs: 4_000 }],
    LARGE_FLEET,
  ),
  newPattern("asking-fleet-surge-of-short", [during(2_000, 8_000, SHORT_SURGE)], [], ASKING_FLEET),
  newPattern("asking-fleet-surge-of-long", [during(2_000, 8_000, LONG_SURGE)], [], ASKING_FLEET),
  newPattern("unequal-fleet-by-turns", BY_TURNS, [], UNEQUAL_FLEET),
  newPattern("unequal-fleet-steady", [], [], UNEQUAL_FLEET),
  newPattern("customers-steady", [], [], { ...FLEET, customers: newCustomers(10, 1) }),
  newPattern("one-customer-surges", [], [], { ...FLEET, customers: newCustomers(10, 15) }),
  newPattern("small-fleet-by-turns", BY_TURNS, [], SMALL_FLEET),
  newPattern("small-fleet-replaced", BY_TURNS, [{ ...REPLACED, count: 4 }], SMALL_FLEET),
];
