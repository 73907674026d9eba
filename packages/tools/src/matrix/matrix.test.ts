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
      const violationTexts: string[] = [];
      for (const cell of cells.filter((other) => other.step === step)) {
        const { violations } = await runCell(cell);
        violationTexts.push(...violations.map(({ detail }) => `${describeCell(cell)}: ${detail}`));
      }
      expect(violationTexts).to.deep.equal([]);
    });
  }
});

type CellKey = Pick<Cell, "group" | "kind" | "step" | "faults">;

const newRequestKey = (kind: RequestKind, step: Cell["step"], ...faults: string[]): CellKey => ({
  ...{ group: "request", kind, step, faults },
});
const newControlKey = (step: Cell["step"], ...faults: string[]): CellKey => ({
  ...{ group: "control", kind: "control", step, faults },
});

/** For each protection, a cell that fails when the protection is off. */
const CELL_BY_PROTECTION: readonly (readonly [
  keyof typeof BREAKABLE_PROTECTIONS & string,
  CellKey,
])[] = [
  ["read-back", newRequestKey(RequestKind.Save, "connect", "resend")],
  ["deadline-check", newRequestKey(RequestKind.Save, "claim append", "holder paused")],
  ["fencing", newControlKey("order", "holder paused")],
  ["attempt-id", newRequestKey(RequestKind.Prompt, "accept", "late or reordered chunks")],
  ["reaper", newRequestKey(RequestKind.OncePrompt, "mid-stream", "entry process dies")],
  ["block", newRequestKey(RequestKind.Prompt, "reply", "poison request")],
  [
    "sequence-dedup",
    newRequestKey(RequestKind.OncePrompt, "mid-stream", "engine dies", "answer lost"),
  ],
  ["revision-check", newRequestKey(RequestKind.Save, "accept", "resend")],
  ["end-marker", newRequestKey(RequestKind.Prompt, "accept", "answer lost")],
  ["leaving-check", newControlKey("configuration publish", "VM leaving")],
];

describe("fault matrix: each protection is needed", function () {
  this.timeout(CELL_TIMEOUT_MS);
  for (const [name, key] of CELL_BY_PROTECTION) {
    const cell: Cell = { ...key, seed: SEED };
    it(`fails without ${name} and passes with it`, async () => {
      const protection = BREAKABLE_PROTECTIONS[name]?.protection ?? "readBack";
      expect((await runCell(cell, { [protection]: false })).violations).to.not.have.length(0);
      expect((await runCell(cell)).violations).to.have.length(0);
    });
  }
});
