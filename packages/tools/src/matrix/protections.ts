import type { Protections } from "@lycheepulley/core";

/** Protections by their name for `--break`, each with a promise that breaks without it. */
export const BREAKABLE_PROTECTIONS: Readonly<
  Record<string, { readonly protection: keyof Protections; readonly guards: string }>
> = {
  "read-back": { protection: "readBack", guards: "at most once" },
  "deadline-check": { protection: "deadlineCheck", guards: "ends in time" },
  fencing: { protection: "fencing", guards: "configuration in force" },
  "attempt-id": { protection: "attemptId", guards: "whole answer" },
  reaper: { protection: "reaper", guards: "no memory lost" },
  block: { protection: "block", guards: "ends in time" },
  "sequence-dedup": { protection: "sequenceDedup", guards: "ends in time" },
  "revision-check": { protection: "revisionCheck", guards: "at most once" },
  "end-marker": { protection: "endMarker", guards: "whole answer" },
  "leaving-check": { protection: "leavingCheck", guards: "leaving gets no work" },
};
