import { z } from "zod";

/** What a VM in the platform's VM list runs. */
export const VmRole = { Engine: "engine", Service: "service", Entry: "entry" } as const;

export const VmState = { Live: "live", Leaving: "leaving" } as const;

export const vmSchema = z.object({
  /** Never reused: a replacement VM at the same address has a new id. */
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

/** Response of the platform's VM list: the whole list, or the changes since a version. */
export const vmListSchema = z.object({
  version: z.number().int(),
  isDelta: z.boolean(),
  /** All VMs, or in a delta the added and changed ones. */
  vms: z.array(vmSchema),
  /** Ids of VMs that were removed; empty for a whole list. */
  removed: z.array(z.string()),
});
export type VmList = z.infer<typeof vmListSchema> & {
  /** Number of times that the service began again at lower versions, as its client saw; 0 when absent. */
  readonly generation?: number;
};

/** True when `one` is newer than `other`; versions are comparable only within one generation. */
export const isNewerVmList = (one: VmList, other: VmList): boolean =>
  ((one.generation ?? 0) - (other.generation ?? 0) || one.version - other.version) > 0;

/** Applies a response to the known list and returns the whole list; ignores stale responses. */
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
