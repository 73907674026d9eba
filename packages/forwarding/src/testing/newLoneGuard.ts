import type { Clock } from "@lycheepulley/core";
import { newSilentLogger } from "@lycheepulley/telemetry";

import { CrashEvidence } from "../crashes/CrashEvidence.js";
import { CrashGuard } from "../crashes/CrashGuard.js";
import { TrialOwner } from "../crashes/TrialOwner.js";

/** The guard of a process without peers. */
export const newLoneGuard = (clock: Clock): CrashGuard => {
  const logger = newSilentLogger();
  const evidence = new CrashEvidence({ clock, logger, onNews: () => undefined });
  return new CrashGuard({
    ...{ clock, evidence, logger, owner: new TrialOwner({ clock, evidence }) },
    getMembers: () => ({ self: "n0", hosts: ["n0"], known: 0 }),
    peers: { ask: () => Promise.reject(new Error("no peers")), end: () => undefined },
  });
};
