import { OverloadControl, type Clock, type Random } from "@lycheepulley/core";
import type { Logger, OverloadMetrics } from "@lycheepulley/telemetry";

/** The overload control of a process, which its metrics and its log show. */
export const newOverloadControl = (options: {
  clock: Clock;
  random: Random;
  metrics: OverloadMetrics;
  logger: Logger;
}): OverloadControl =>
  new OverloadControl({
    ...{ clock: options.clock, random: options.random },
    observer: {
      onWait: (waitMs) => {
        options.metrics.onWait(waitMs);
      },
      onRejected: () => {
        options.metrics.onRejected();
      },
      onChange: ({ isOverloaded, ms, maxWaitMs, taken, rejected }) => {
        options.logger.warn(isOverloaded ? "overload began" : "overload ended", {
          ...{ step: "accept", ms: Math.round(ms), maxWaitMs: Math.round(maxWaitMs) },
          ...{ taken, rejected },
        });
      },
    },
  });
