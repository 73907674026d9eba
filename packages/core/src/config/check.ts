import stringify from "fast-json-stable-stringify";
import type { z } from "zod";

import { sha256 } from "../ids.js";
import { fleetSchema, type FleetConfig } from "./schema.js";

/** A validation error of a configuration, with the path of the invalid field. */
export interface ConfigFault {
  readonly path: string;
  readonly message: string;
}

/** A published configuration: one base and an overlay per site. */
export interface ConfigBundle {
  readonly base: JsonObject;
  readonly overlays: Readonly<Record<string, JsonObject>>;
}

export type JsonObject = Readonly<Record<string, unknown>>;

/** The validated configuration, or all its validation errors. */
export type CheckResult =
  | { readonly ok: true; readonly config: FleetConfig }
  | { readonly ok: false; readonly faults: readonly ConfigFault[] };

/** Tells whether a value is a plain JSON object. */
export const isJsonObject = (value: unknown): value is JsonObject =>
  typeof value === "object" && value !== null && !Array.isArray(value);

/**
 * Merges an overlay into a base. Objects are merged recursively, other values
 * are replaced, and null removes a key.
 */
export const mergeOverlay = (base: JsonObject, overlay: JsonObject): JsonObject => {
  const merged = new Map(Object.entries(base));
  for (const [key, value] of Object.entries(overlay)) {
    const old = merged.get(key);
    if (value === null) {
      merged.delete(key);
    } else if (isJsonObject(value) && isJsonObject(old)) {
      merged.set(key, mergeOverlay(old, value));
    } else {
      merged.set(key, value);
    }
  }
  return Object.fromEntries(merged);
};

/** Finds errors that depend on several fields; the schema checks each field alone. */
const findCrossFieldFaults = (cfg: FleetConfig): ConfigFault[] => {
  const faults: ConfigFault[] = [];
  for (const [className, cls] of Object.entries(cfg.classes)) {
    cls.models.forEach((model, i) => {
      const path = `classes.${className}.models.${String(i)}`;
      const modelConfig = cfg.models[model];
      if (!modelConfig) {
        faults.push({ path, message: `unknown model "${model}"` });
      } else if (cls.maxPromptTokens > modelConfig.contextTokens) {
        faults.push({
          path: `classes.${className}.maxPromptTokens`,
          message: `exceeds contextTokens of model "${model}" (${String(modelConfig.contextTokens)})`,
        });
      }
    });
  }
  const { claimWindowMs, logRetentionMs } = cfg.limits;
  if (claimWindowMs * 2 > logRetentionMs) {
    faults.push({
      path: "limits.claimWindowMs",
      message: `must be at most half of limits.logRetentionMs (${String(logRetentionMs)})`,
    });
  }
  const keys = new Map<string, string>();
  for (const [customer, { keySha256 }] of Object.entries(cfg.customers)) {
    const other = keys.get(keySha256);
    if (other !== undefined) {
      faults.push({
        path: `customers.${customer}.keySha256`,
        message: `same key as customer "${other}"`,
      });
    }
    keys.set(keySha256, customer);
  }
  return faults;
};

/**
 * Finds unknown models in a configuration that doesn't match the schema, so
 * that they are reported together with the schema's errors.
 */
const findUnknownModels = (raw: unknown): ConfigFault[] => {
  const { models, classes } = isJsonObject(raw) ? raw : {};
  if (!isJsonObject(models) || !isJsonObject(classes)) {
    return [];
  }
  return Object.entries(classes).flatMap(([className, cls]) => {
    const classModels = isJsonObject(cls) && Array.isArray(cls["models"]) ? cls["models"] : [];
    return classModels.flatMap((model: unknown, i) =>
      typeof model === "string" && !(model in models)
        ? [
            {
              path: `classes.${className}.models.${String(i)}`,
              message: `unknown model "${model}"`,
            },
          ]
        : [],
    );
  });
};

/** The errors that a schema found, with the path of each invalid field. */
export const toConfigFaults = ({ issues }: z.ZodError): ConfigFault[] =>
  issues.flatMap((issue) => {
    const parentPath = issue.path.map(String);
    const keys = issue.code === "unrecognized_keys" ? issue.keys : [undefined];
    return keys.map((key) => ({
      path: [...parentPath, ...(key === undefined ? [] : [key])].join(".") || "(root)",
      message: key === undefined ? issue.message : "unknown key",
    }));
  });

/** Validates an effective configuration. */
export const checkConfig = (raw: unknown): CheckResult => {
  const parsed = fleetSchema.safeParse(raw);
  if (!parsed.success) {
    return { ok: false, faults: [...toConfigFaults(parsed.error), ...findUnknownModels(raw)] };
  }
  const faults = findCrossFieldFaults(parsed.data);
  return faults.length > 0 ? { ok: false, faults } : { ok: true, config: parsed.data };
};

/** Merges and validates the effective configuration of one site. */
export const getSiteConfig = (bundle: ConfigBundle, site: string): CheckResult =>
  checkConfig(mergeOverlay(bundle.base, bundle.overlays[site] ?? {}));

/** Validates the base and every site's effective configuration; empty if all are valid. */
export const checkBundle = (bundle: ConfigBundle): ConfigFault[] => {
  const base = checkConfig(bundle.base);
  if (!base.ok) {
    return [...base.faults];
  }
  const faults: ConfigFault[] = [];
  for (const site of Object.keys(bundle.overlays)) {
    if (!base.config.sites.includes(site)) {
      faults.push({
        path: `overlays.${site}`,
        message: `no such site; sites are ${base.config.sites.join(", ")}`,
      });
      continue;
    }
    const effective = getSiteConfig(bundle, site);
    if (!effective.ok) {
      faults.push(
        ...effective.faults.map((fault) => ({
          path: `${site}: ${fault.path}`,
          message: fault.message,
        })),
      );
    }
  }
  return faults;
};

const DIGEST_HEX_DIGITS = 12;

/** Short digest of a JSON value; the order of its keys doesn't matter. */
export const digestOf = (value: unknown): string =>
  sha256(stringify(value)).slice(0, DIGEST_HEX_DIGITS);
