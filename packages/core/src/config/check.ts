import stringify from "fast-json-stable-stringify";

import { sha256 } from "../ids.js";
import { fleetSchema, type FleetConfig } from "./schema.js";

/** One fault of a configuration, with the path of the faulty field. */
export interface ConfigFault {
  readonly path: string;
  readonly message: string;
}

/** A configuration as published: one base and an overlay for each site. */
export interface ConfigBundle {
  readonly base: JsonObject;
  readonly overlays: Readonly<Record<string, JsonObject>>;
}

export type JsonObject = Readonly<Record<string, unknown>>;

/** The checked configuration, or all its faults. */
export type CheckResult =
  | { readonly ok: true; readonly config: FleetConfig }
  | { readonly ok: false; readonly faults: readonly ConfigFault[] };

/** Tells whether a value is a plain JSON object. */
export const isJsonObject = (value: unknown): value is JsonObject =>
  typeof value === "object" && value !== null && !Array.isArray(value);

/** Merges an overlay into a base: objects deeply, the rest replaced, null removes. */
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

const findReferenceFaults = (cfg: FleetConfig): ConfigFault[] => {
  const faults: ConfigFault[] = [];
  for (const [className, cls] of Object.entries(cfg.classes)) {
    cls.models.forEach((model, i) => {
      const path = `classes.${className}.models.${String(i)}`;
      const found = cfg.models[model];
      if (!found) {
        faults.push({ path, message: `unknown model "${model}"` });
      } else if (cls.maxPromptTokens > found.contextTokens) {
        faults.push({
          path: `classes.${className}.maxPromptTokens`,
          message: `exceeds contextTokens of model "${model}" (${String(found.contextTokens)})`,
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

/** Unknown models of a configuration that has other faults too. */
const findUnknownModels = (raw: unknown): ConfigFault[] => {
  const { models, classes } = isJsonObject(raw) ? raw : {};
  if (!isJsonObject(models) || !isJsonObject(classes)) {
    return [];
  }
  return Object.entries(classes).flatMap(([className, cls]) => {
    const named = isJsonObject(cls) && Array.isArray(cls["models"]) ? cls["models"] : [];
    return named.flatMap((model: unknown, i) =>
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

/** Checks one effective configuration. */
export const checkConfig = (raw: unknown): CheckResult => {
  const parsed = fleetSchema.safeParse(raw);
  if (!parsed.success) {
    const faults = parsed.error.issues.flatMap((issue) => {
      const at = issue.path.map(String);
      const keys = issue.code === "unrecognized_keys" ? issue.keys : [undefined];
      return keys.map((key) => ({
        path: [...at, ...(key === undefined ? [] : [key])].join(".") || "(root)",
        message: key === undefined ? issue.message : "unknown key",
      }));
    });
    return { ok: false, faults: [...faults, ...findUnknownModels(raw)] };
  }
  const faults = findReferenceFaults(parsed.data);
  return faults.length > 0 ? { ok: false, faults } : { ok: true, config: parsed.data };
};

/** Effective configuration of one site. */
export const getSiteConfig = (bundle: ConfigBundle, site: string): CheckResult =>
  checkConfig(mergeOverlay(bundle.base, bundle.overlays[site] ?? {}));

/** Checks the base and the effective configuration of every site; empty when all hold. */
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

const DIGEST_LENGTH = 12;

/** Short digest of a JSON value, equal for equal values whatever their key order. */
export const digestOf = (value: unknown): string =>
  sha256(stringify(value)).slice(0, DIGEST_LENGTH);
