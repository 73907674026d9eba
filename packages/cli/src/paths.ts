import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

/** Folder of the example configurations in the repository. */
export const EXAMPLES_FOLDER = fileURLToPath(new URL("../../../examples", import.meta.url));

/** Script that tools run to start entry processes and stand-ins. */
export const ENTRY_POINT = fileURLToPath(new URL("../bin/lycheepulley.js", import.meta.url));

/** Path of a new folder for the settings and output of the processes that a tool starts. */
export const newRunFolder = (tool: string): string =>
  join(tmpdir(), `lycheepulley-${tool}-${String(Date.now())}`);
