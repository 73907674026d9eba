import { spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

import { expect } from "chai";

const FLOOD = fileURLToPath(new URL("testing/logFlood.js", import.meta.url));
const FLOOD_LINES = 5_000;
/** Limit for the lines in the buffer, in the write in progress and in the pipe. */
const MAX_BUFFERED_BYTES = 2_200_000;

interface Line {
  readonly message: string;
  readonly lost?: number;
}

describe("newBoundedLogger whose output isn't read", () => {
  it("doesn't block, keeps its buffer bounded and reports the number of lost lines", async () => {
    const child = spawn(process.execPath, [FLOOD], { stdio: "pipe" });
    const lines: Line[] = [];
    let bytes = 0;
    try {
      await once(child.stderr, "data");
      for await (const text of createInterface({ input: child.stdout })) {
        const line = JSON.parse(text) as Line;
        lines.push(line);
        bytes += line.message === "flood" ? text.length : 0;
        if (line.message === "last") {
          child.stdin.end();
        }
      }
    } finally {
      child.kill("SIGKILL");
    }
    const written = lines.filter(({ message }) => message === "flood").length;
    const lost = lines.reduce((sum, line) => sum + (line.lost ?? 0), 0);
    expect(written).to.be.within(1, FLOOD_LINES - 1);
    expect(bytes).to.be.at.most(MAX_BUFFERED_BYTES);
    expect(lost).to.be.at.least(FLOOD_LINES - written);
  });
});
