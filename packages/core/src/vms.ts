import { z } from "zod";

/** What runs on a VM of the platform's list. */
export const VmRole = { Engine: "engine", Service: "service", Entry: "entry" } as const;

export const VmState = { Live: "live", Leaving: "leaving" } as const;

export const vmSchema = z.object({
  /** Unique for each VM ever; a replacement at the same address has its own. */
  id: z.string().min(1),
  role: z.enum(VmRole),
  /** Pool of the models or the service that it serves; "entry" for entry VMs. */
  pool: z.string(),
  host: z.string(),
  port: z.number().int(),
  /** Port for calls between entry processes and from operators. */
  controlPort: z.number().int().optional(),
  failureDomain: z.string(),
  state: z.enum(VmState),
});
export type Vm = z.infer<typeof vmSchema>;

/** One answer of the platform's VM list: the whole list, or what changed since a version. */
export const vmListSchema = z.object({
  version: z.number().int(),
  isDelta: z.boolean(),
  /** All VMs, or those that were added or changed. */
  vms: z.array(vmSchema),
  /** Ids of VMs that were removed; empty for a whole list. */
  removed: z.array(z.string()),
});
export type VmList = z.infer<typeof vmListSchema>;

/** Whole list after an answer; an older answer changes nothing. */
export const foldVmList = (known: VmList | undefined, answer: VmList): VmList => {
  if (!answer.isDelta || !known) {
    return known && answer.version < known.version ? known : answer;
  }
  if (answer.version <= known.version) {
    return known;
  }
  const changed = new Set([...answer.vms.map((vm) => vm.id), ...answer.removed]);
  const kept = known.vms.filter((vm) => !changed.has(vm.id));
  return { version: answer.version, isDelta: false, vms: [...kept, ...answer.vms], removed: [] };
};
