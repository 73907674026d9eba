import { newRpcMethod } from "@lycheepulley/nodes";
import { z } from "zod";

import { acquireAnswerSchema, acquireSchema, GrantEnd, heldGrantSchema } from "./types.js";

const emptyAnswerSchema = z.object({});

/** Queues a request at the pool's owner until an engine is granted or the request is rejected. */
export const acquireMethod = newRpcMethod(
  "pool.acquire",
  z.object({ req: acquireSchema, holder: z.string() }),
  acquireAnswerSchema,
);

/** Releases a grant at the pool's owner. */
export const releaseMethod = newRpcMethod(
  "pool.release",
  z.object({ pool: z.string(), id: z.string(), end: z.enum(GrantEnd) }),
  emptyAnswerSchema,
);

/** Removes a queued request, or releases its grant, after its caller disconnected. */
export const abandonMethod = newRpcMethod(
  "pool.abandon",
  z.object({ pool: z.string(), id: z.string() }),
  emptyAnswerSchema,
);

/** Renews the holder's grants; a new owner of the pool adds them to its state. */
export const renewMethod = newRpcMethod(
  "pool.renew",
  z.object({ pool: z.string(), holder: z.string(), held: z.array(heldGrantSchema) }),
  emptyAnswerSchema,
);
