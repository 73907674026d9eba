import { newDecodePlan } from "../decodePlan.js";
import { newUpstreamLoad, type LoadItem } from "../load.js";
import { getKvTokens, getPromptLoad } from "../requestLoad.js";
import type { RoomRequest } from "./decisions.js";
import type { FoundRoom } from "./findRoom.js";
import type { RoomPromise } from "./promise.js";

/** Load item of a prompt that is promised the room found for it. */
export const newPromiseItem = (
  { req, pool, engine, request }: RoomRequest,
  { id, plan, inMs, neededInMs }: FoundRoom & { id: string; neededInMs: number },
  fields: Pick<RoomPromise, "place" | "renewal" | "returnKey">,
): LoadItem => {
  const crowded = { ...newUpstreamLoad(), decoding: engine.slots - 1 };
  const { writeMs } = newDecodePlan(engine, request, { load: crowded, pace: plan.decode.pace });
  const forMs = Math.ceil(plan.firstEventMs + writeMs);
  return {
    ...getPromptLoad(plan, request),
    ...{ id, pool, upstream: plan.upstream.id, kvTokens: getKvTokens(req, plan, request) },
    promise: { inMs: Math.ceil(inMs), neededInMs: Math.ceil(neededInMs), forMs, ...fields },
  };
};
