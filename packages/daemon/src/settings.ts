import { readFile } from "node:fs/promises";

import { getMessage, isJsonObject, mergeOverlay } from "@lycheepulley/core";
import { z } from "zod";

const port = z.number().int().min(0).max(65_535);
const origin = z
  .string()
  .regex(/^https?:\/\/[0-9.:[\]a-f]+$/, "must be an HTTP origin with an IP address");

/** Settings of one entry process. */
export const settingsSchema = z.strictObject({
  /** Name of the VM, never reused for another one; also its id in the platform's VM list. */
  name: z.string().regex(/^[a-z0-9-]+$/, "must be lower-case letters, digits and dashes"),
  site: z.string().min(1),
  failureDomain: z.string().min(1),
  host: z.string().min(1),
  callerPort: port,
  controlPort: port,
  platform: z.strictObject({ log: origin, vmList: origin, weightStore: origin }),
  logLevel: z.enum(["error", "warn", "info", "debug"]).default("info"),
  /** Placement policy; all but `ours` are baselines for comparison. */
  placement: z
    .enum([
      "random",
      "round-robin",
      "least-requests",
      "least-tokens",
      "power-of-two",
      "fixed-split",
      "ours",
    ])
    .default("ours"),
  maxInFlight: z.number().int().positive().default(4_000),
});
export type Settings = z.infer<typeof settingsSchema>;

/** Thrown when a settings or configuration file can't be used; carries every fault found in it. */
export class SettingsError extends Error {
  constructor(
    readonly file: string,
    readonly faults: readonly string[],
  ) {
    super(`${file}: ${faults.join("; ")}`);
    this.name = "SettingsError";
  }
}

/** Reads a JSON object from a file; throws a {@link SettingsError} if it holds none. */
export const readJsonFile = async (file: string): Promise<Readonly<Record<string, unknown>>> => {
  let text: string;
  try {
    text = await readFile(file, "utf8");
  } catch (err) {
    throw new SettingsError(file, [`can't be read: ${getMessage(err)}`]);
  }
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (err) {
    throw new SettingsError(file, [`isn't JSON: ${getMessage(err)}`]);
  }
  if (!isJsonObject(value)) {
    throw new SettingsError(file, ["isn't a JSON object"]);
  }
  return value;
};

/** Validates raw settings; throws a {@link SettingsError} that lists every fault. */
export const parseSettings = (file: string, raw: unknown): Settings => {
  const parsed = settingsSchema.safeParse(raw);
  if (parsed.success) {
    return parsed.data;
  }
  const faults = parsed.error.issues.map((issue) => `${issue.path.join(".")}: ${issue.message}`);
  throw new SettingsError(file, faults);
};

/** Reads and validates settings from a base file, merged with an overlay file if one is given. */
export const readSettings = async (base: string, overlay?: string): Promise<Settings> => {
  const raw = await readJsonFile(base);
  const merged = overlay === undefined ? raw : mergeOverlay(raw, await readJsonFile(overlay));
  return parseSettings(overlay ?? base, merged);
};
