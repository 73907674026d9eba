import { join } from "node:path";

import { getSiteConfig, type ConfigBundle, type FleetConfig } from "@lycheepulley/core";
import { readJsonFile } from "@lycheepulley/daemon";
import { z } from "zod";

export const deploymentSchema = z.strictObject({
  name: z.string(),
  model: z.string(),
  modelWorkers: z.number().int().positive(),
  service: z.string(),
  serviceWorkers: z.number().int().positive(),
  failureDomains: z.array(z.string()).min(1),
  entryProcesses: z.number().int().positive(),
  /** One-way latency between failure domains. */
  oneWayMs: z.number().nonnegative(),
  /** One-way latency between callers and entry processes. */
  clientOneWayMs: z.number().nonnegative(),
  customers: z.array(z.strictObject({ name: z.string(), share: z.number().positive() })).min(1),
});
export type Deployment = z.infer<typeof deploymentSchema>;

/** An example deployment with its configuration. */
export interface LoadedDeployment {
  readonly deployment: Deployment;
  readonly bundle: ConfigBundle;
  /** Effective configuration of the first failure domain. */
  readonly config: FleetConfig;
}

/** Reads a deployment and its configuration from the examples folder; throws if it is invalid. */
export const readDeployment = async (examples: string, name: string): Promise<LoadedDeployment> => {
  const folder = join(examples, name);
  const deployment = deploymentSchema.parse(await readJsonFile(join(folder, "deployment.json")));
  const base = await readJsonFile(join(folder, "base.json"));
  const overlays: Record<string, ConfigBundle["base"]> = {};
  for (const site of deployment.failureDomains) {
    overlays[site] = await readJsonFile(join(folder, `${site}.json`));
  }
  const bundle = { base, overlays };
  const siteConfig = getSiteConfig(bundle, deployment.failureDomains[0] ?? "");
  if (!siteConfig.ok) {
    throw new Error(`example deployment ${name} is invalid: ${JSON.stringify(siteConfig.faults)}`);
  }
  return { deployment, bundle, config: siteConfig.config };
};

/** API key of an example customer. */
export const getExampleKey = (customer: string): string => `key-${customer}`;
