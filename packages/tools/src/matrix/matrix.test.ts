import { expect } from "chai";

import { RequestKind } from "./Caller.js";
import { runCell, type Cell } from "./cells.js";
import { MatrixPart, planCells } from "./plan.js";
import { BREAKABLE_PROTECTIONS } from "./protections.js";

const SEED = 1;
const CELL_TIMEOUT_MS = 120_000;

const describeCell = ({ kind, step, faults }: Cell): string =>
  `${kind} / ${step} / ${faults.join(" + ")}`;

describe("fault matrix: every fault alone at every step", function () {
  this.timeout(CELL_TIMEOUT_MS);
  const cells = planCells(MatrixPart.Single, SEED);
  for (const step of new Set(cells.map((cell) => cell.step))) {
    it(`keeps every promise at "${step}"`, async () => {
      const broken: string[] = [];
      for (const cell of cells.filter((other) => other.step === step)) {
        const { violations } = await runCell(cell);
        broken.push(...violations.map(({ detail }) => `${describeCell(cell)}: ${detail}`));
      }
      expect(broken).to.deep.equal([]);
    });
  }
});

type CellKey = Pick<Cell, "group" | "kind" | "step" | "faults">;

const request = (kind: RequestKind, step: Cell["step"], ...faults: string[]): CellKey => ({
  ...{ group: "request", kind, step, faults },
});
const control = (step: Cell["step"], ...faults: string[]): CellKey => ({
  ...{ group: "control", kind: "control", step, faults },
});

/** A cell that goes red when its protection is off. */
const GUARDED: readonly (readonly [keyof typeof BREAKABLE_PROTECTIONS & string, CellKey])[] = [
  ["read-back", request(RequestKind.Save, "connect", "resend")],
  ["deadline-check", request(RequestKind.Save, "claim append", "holder paused")],
  ["fencing", control("order", "holder paused")],
  ["attempt-id", request(RequestKind.Prompt, "accept", "late or reordered chunks")],
  ["reaper", request(RequestKind.OncePrompt, "mid-stream", "entry process dies")],
  ["block", request(RequestKind.Prompt, "reply", "poison request")],
  ["sequence-dedup", request(RequestKind.OncePrompt, "mid-stream", "engine dies", "answer lost")],
  ["revision-check", request(RequestKind.Save, "accept", "resend")],
  ["end-marker", request(RequestKind.Prompt, "accept", "answer lost")],
  ["leaving-check", control("configuration publish", "VM leaving")],
];

describe("fault matrix: each protection is needed", function () {
  this.timeout(CELL_TIMEOUT_MS);
  for (const [name, key] of GUARDED) {
    const cell: Cell = { ...key, seed: SEED };
    it(`goes red without ${name}, and stays green with it`, async () => {
      const protection = BREAKABLE_PROTECTIONS[name]?.protection ?? "readBack";
      expect((await runCell(cell, { [protection]: false })).violations).to.not.have.length(0);
      expect((await runCell(cell)).violations).to.have.length(0);
    });
  }
});
