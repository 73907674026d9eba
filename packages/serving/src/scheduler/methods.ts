import { newRpcMethod } from "@lycheepulley/nodes";
import { z } from "zod";

import { acquireAnswerSchema, acquireSchema, GrantEnd, heldGrantSchema } from "./types.js";

const nothing = z.object({});

/** Waits at the pool's owner for a place on one of its engines. */
export const acquireMethod = newRpcMethod(
  "pool.acquire",
  z.object({ req: acquireSchema, holder: z.string() }),
  acquireAnswerSchema,
);

/** Gives a place back to the pool's owner. */
export const releaseMethod = newRpcMethod(
  "pool.release",
  z.object({ pool: z.string(), id: z.string(), end: z.enum(GrantEnd) }),
  nothing,
);

/** Ends a wait or a grant whose caller is gone. */
export const abandonMethod = newRpcMethod(
  "pool.abandon",
  z.object({ pool: z.string(), id: z.string() }),
  nothing,
);

/** Keeps grants alive and tells a new owner of them. */
export const renewMethod = newRpcMethod(
  "pool.renew",
  z.object({ pool: z.string(), holder: z.string(), held: z.array(heldGrantSchema) }),
  nothing,
);
