import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

/** Folder of the examples in the repository. */
export const EXAMPLES_FOLDER = fileURLToPath(new URL("../../../examples", import.meta.url));

/** Script by which tools start further processes of the product. */
export const ENTRY_POINT = fileURLToPath(new URL("../bin/lycheepulley.js", import.meta.url));

/** Fresh folder for the settings and output of a run's processes. */
export const newRunFolder = (tool: string): string =>
  join(tmpdir(), `lycheepulley-${tool}-${String(Date.now())}`);
