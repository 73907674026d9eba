import { RequestKind } from "./Caller.js";
import type { Cell } from "./cells.js";
import { FAULT_NAMES } from "./faults.js";
import { CONTROL_STEPS, REQUEST_STEPS } from "./steps.js";

/** Parts of the matrix that can be run separately. */
export const MatrixPart = {
  /** Each fault once, at every step. */
  Single: "single",
  /** Each fault twice in a row, at every step. */
  Twice: "twice",
  /** Each pair of different faults, at every step of the request path. */
  Pairs: "pairs",
} as const;
export type MatrixPart = (typeof MatrixPart)[keyof typeof MatrixPart];

const REQUEST_KINDS = Object.values(RequestKind);

const newRequestCells = (faultSets: readonly (readonly string[])[], seed: number): Cell[] =>
  REQUEST_KINDS.flatMap((kind) =>
    REQUEST_STEPS.flatMap((step) =>
      faultSets.map((faults): Cell => ({ group: "request", kind, step, faults, seed })),
    ),
  );

const newControlCells = (faultSets: readonly (readonly string[])[], seed: number): Cell[] =>
  CONTROL_STEPS.flatMap((step) =>
    faultSets.map((faults): Cell => ({ group: "control", kind: "control", step, faults, seed })),
  );

/** Returns the cells of one part of the matrix in a fixed order. */
export const planCells = (part: MatrixPart, seed: number): Cell[] => {
  const single = FAULT_NAMES.map((fault) => [fault]);
  const twice = FAULT_NAMES.map((fault) => [fault, fault]);
  const pairs = FAULT_NAMES.flatMap((a, i) => FAULT_NAMES.slice(i + 1).map((b) => [a, b]));
  switch (part) {
    case MatrixPart.Single:
      return [...newRequestCells(single, seed), ...newControlCells(single, seed)];
    case MatrixPart.Twice:
      return [...newRequestCells(twice, seed), ...newControlCells(twice, seed)];
    case MatrixPart.Pairs:
      return newRequestCells(pairs, seed);
  }
};
