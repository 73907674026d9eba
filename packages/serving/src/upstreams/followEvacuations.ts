import { Acceptance, getEvacuatedDomains, RecordKind, type FoldedRecord } from "@lycheepulley/core";
import type { FoldReader } from "@lycheepulley/log";
import type { Logger } from "@lycheepulley/telemetry";

import type { UpstreamDirectory } from "./UpstreamDirectory.js";

/**
 * Keeps the evacuated failure domains of the directory by the operators' records. Returns a function
 * that reads them anew, for state that came from a peer's snapshot.
 */
export const followEvacuations = (options: {
  reader: FoldReader;
  directory: UpstreamDirectory;
  logger: Logger;
}): (() => void) => {
  const { reader, directory, logger } = options;
  const refresh = (): void => {
    directory.setEvacuated(getEvacuatedDomains(reader.fold).map(({ domain }) => domain));
  };
  const onFolded = ({ record, acceptance, register }: FoldedRecord): void => {
    if (record.kind === RecordKind.Evacuation && acceptance === Acceptance.Accepted) {
      refresh();
      logger.info("evacuation changed", {
        ...{ step: "membership", failureDomain: record.key, source: record.writer },
        ...{ isEvacuated: directory.isEvacuated(record.key), version: register?.version },
      });
    } else if (record.kind === RecordKind.Snapshot) {
      refresh();
    }
  };
  reader.subscribe(onFolded);
  return refresh;
};
