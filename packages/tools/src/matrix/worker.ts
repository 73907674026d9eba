import { parentPort, workerData } from "node:worker_threads";

import type { Protections } from "@lycheepulley/core";

import { runCell, type Cell } from "./cells.js";

const disabled = workerData as Partial<Protections>;

parentPort?.on("message", (cell: Cell) => {
  void runCell(cell, disabled).then((result) => {
    parentPort?.postMessage(result);
  });
});
