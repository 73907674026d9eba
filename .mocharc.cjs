"use strict";
const { readFileSync } = require("node:fs");
const { join } = require("node:path");

/** Titles of the tests that KNOWN-RED.txt lists, each in a line `Test: TITLE`. */
const knownRed = [
  ...readFileSync(join(__dirname, "KNOWN-RED.txt"), "utf8").matchAll(/^ *Test: *(.+)$/gm),
].map(([, title]) => title.trim());

const escape = (text) => text.replace(/[.*+?^${}()|[\]\\]/g, "\\$&");

for (const title of knownRed) {
  process.stdout.write(`known red, passed over: ${title}\n`);
}

const PACKAGES = "packages/*/dist/**/*.test.js";
const PLATFORM = "platform/dist/**/*.test.js";
/** Tests of the platform on injected clocks, which take a core and no time of their own. */
const SIMULATED = ["platform/dist/readerCalls.test.js", "platform/dist/returnSimulation.test.js"];

/** The halves that `npm test` runs beside each other; without `TEST_PART` all tests run. */
const PARTS = {
  clocks: { spec: [PACKAGES, ...SIMULATED] },
  sockets: { spec: [PLATFORM], ignore: SIMULATED },
};
const part = process.env.TEST_PART;
if (part !== undefined && !(part in PARTS)) {
  throw new Error(`TEST_PART is ${part}; it takes ${Object.keys(PARTS).join(" or ")}`);
}

module.exports = {
  ...(part === undefined ? { spec: [PACKAGES, PLATFORM] } : PARTS[part]),
  timeout: 20000,
  forbidOnly: true,
  forbidPending: true,
  ...(knownRed.length > 0
    ? { grep: new RegExp(`^(${knownRed.map(escape).join("|")})$`), invert: true }
    : {}),
};
