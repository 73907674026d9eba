import { expect } from "chai";

import { checkBundle, checkConfig, mergeOverlay } from "./check.js";

const KEY = "0".repeat(64);
const BASE = {
  fleet: "f",
  sites: ["north"],
  models: {
    m: {
      pool: "m",
      version: "1",
      contextTokens: 1_000,
      engineKvTokens: 1_000,
      prefillTokensPerS: 1,
    },
  },
  classes: { c: { patienceMs: 1_000, maxPromptTokens: 1_000, models: ["m"] } },
  customers: { a: { keySha256: KEY } },
};

const FAULTS = [
  { name: "a misspelled key", overlay: { limits: { retryShar: 1 } }, path: "limits.retryShar" },
  {
    name: "a negative patience",
    overlay: { classes: { c: { patienceMs: -1 } } },
    path: "classes.c.patienceMs",
  },
  {
    name: "an unknown model",
    overlay: { classes: { c: { models: ["x"] } } },
    path: "classes.c.models.0",
  },
  {
    name: "a class whose prompts exceed its model's context",
    overlay: { classes: { c: { maxPromptTokens: 2_000 } } },
    path: "classes.c.maxPromptTokens",
  },
  {
    name: "a duplicate API key",
    overlay: { customers: { b: { keySha256: KEY } } },
    path: "customers.b.keySha256",
  },
  {
    name: "a claim window too long for the log's retention",
    overlay: { limits: { claimWindowMs: 80_000_000 } },
    path: "limits.claimWindowMs",
  },
  { name: "missing classes", overlay: { classes: null }, path: "classes" },
];

describe("checkConfig", () => {
  it("accepts a valid configuration", () => {
    expect(checkConfig(BASE).ok).to.equal(true);
  });

  for (const { name, overlay, path } of FAULTS) {
    it(`reports ${name}`, () => {
      const result = checkConfig(mergeOverlay(BASE, overlay));
      expect(result.ok ? [] : result.faults.map((fault) => fault.path)).to.include(path);
    });
  }

  it("reports all errors of a configuration", () => {
    const classes = { c: { patienceMs: -1, models: ["x"] } };
    const result = checkConfig(mergeOverlay(BASE, { classes, limits: { retryShar: 1 } }));
    expect(result.ok ? [] : result.faults.map(({ path }) => path)).to.have.members([
      "classes.c.patienceMs",
      "limits.retryShar",
      "classes.c.models.0",
    ]);
  });

  it("rejects an overlay for an unknown site", () => {
    const faults = checkBundle({ base: BASE, overlays: { south: {} } });
    expect(faults.map(({ path }) => path)).to.deep.equal(["overlays.south"]);
  });
});

describe("mergeOverlay", () => {
  const CASES = [
    {
      name: "merges objects recursively",
      overlay: { a: { y: 2 } },
      merged: { a: { x: 1, y: 2 }, l: [1] },
    },
    { name: "replaces lists", overlay: { l: [2] }, merged: { a: { x: 1 }, l: [2] } },
    { name: "removes with null", overlay: { a: null }, merged: { l: [1] } },
  ];
  for (const { name, overlay, merged } of CASES) {
    it(name, () => {
      expect(mergeOverlay({ a: { x: 1 }, l: [1] }, overlay)).to.deep.equal(merged);
    });
  }
});
