import type { IncomingMessage } from "node:http";

import { sleep, type Clock } from "@lycheepulley/core";
import { discardWithin } from "@lycheepulley/http";

/** Longest time for which the body of a rejected request is awaited. */
const MAX_DISCARD_MS = 500;

/** Reads a request to its end, or for some time, unless it comes in more chunks than a sound caller makes. */
export const discardBody = async (req: IncomingMessage, clock: Clock): Promise<void> => {
  const end = new AbortController();
  req.once("close", () => {
    end.abort();
  });
  discardWithin(req, {
    onLimit: () => {
      end.abort();
    },
  });
  await sleep(clock, MAX_DISCARD_MS, end.signal);
};
