import { execFile } from "node:child_process";
import { promisify } from "node:util";

import { expect } from "chai";

import { ENTRY_POINT } from "../paths.js";
import { COMMANDS } from "../registry.js";

const run = promisify(execFile);
/** Each process loads the whole command line, which takes seconds on a busy machine. */
const TIMEOUT_MS = 60_000;

describe("lycheepulley COMMAND --help", () => {
  for (const { name, flags, example } of COMMANDS) {
    it(`prints the options of ${name} and runs nothing`, async function () {
      this.timeout(TIMEOUT_MS);
      const { stdout } = await run(process.execPath, [ENTRY_POINT, ...name.split(" "), "--help"]);
      expect(stdout).to.include(example);
      const words = Object.keys(flags).map(
        (flag) => `--${flag.replace(/[A-Z]/g, (c) => `-${c.toLowerCase()}`)}`,
      );
      words.forEach((word) => expect(stdout).to.include(word));
    });
  }
});
