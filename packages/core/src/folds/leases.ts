import { z } from "zod";

import { RecordKind, type Draft } from "./records.js";
import type { Register } from "./registers.js";

export const LeaseAction = { Claim: "claim", Renew: "renew", Release: "release" } as const;

export const leaseBodySchema = z.object({
  action: z.enum(LeaseAction),
  /** Process name and incarnation. */
  holder: z.string(),
  /** Fencing token: increases with every change of holder. */
  epoch: z.number().int(),
  termMs: z.number().positive(),
});
export type LeaseBody = z.infer<typeof leaseBodySchema>;

/** Parses a lease register; undefined if the duty was never claimed or the body is invalid. */
export const parseLease = (register: Register | undefined): LeaseBody | undefined =>
  register ? leaseBodySchema.safeParse(register.body).data : undefined;

/** Creates the draft that claims a duty; the first to follow the version is accepted. */
export const newLeaseClaim = (options: {
  duty: string;
  register: Register | undefined;
  holder: string;
  termMs: number;
}): Draft => {
  const version = options.register?.version ?? 0;
  const body: LeaseBody = {
    action: LeaseAction.Claim,
    holder: options.holder,
    epoch: version + 1,
    termMs: options.termMs,
  };
  return { kind: RecordKind.Lease, key: options.duty, follows: version, body };
};

/** Creates the draft that renews or releases a duty under the same epoch. */
export const newLeaseUpdate = (
  register: Register,
  lease: LeaseBody,
  action: typeof LeaseAction.Renew | typeof LeaseAction.Release,
): Draft => ({
  kind: RecordKind.Lease,
  key: register.key,
  follows: register.version,
  body: { ...lease, action },
});

/**
 * Tells whether a duty has no holder, without regard to the lease's term. A lease that can't be
 * read has one: a process with another version may have written it.
 */
export const isLeaseFree = (register: Register | undefined): boolean =>
  register === undefined || parseLease(register)?.action === LeaseAction.Release;
