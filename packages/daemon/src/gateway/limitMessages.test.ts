import { expect } from "chai";
import { z } from "zod";

import { askMethod, chargeSchema, limitsSchema } from "./limitMessages.js";

const LIMIT = { upstream: "u1", perSecond: 3, sentAgoMs: 12, receivedAgoMs: 3 };
const COLD = { upstream: "u1", leftMs: 2_000, perSecond: 18 };

/** How the build ea373c5 reads messages. */
const earlierLimit = z.object({
  ...{ upstream: z.string(), perSecond: z.number().nonnegative().optional() },
  ...{ sentAgoMs: z.number(), receivedAgoMs: z.number() },
});
const earlierAsk = z.object({ host: z.string(), limit: earlierLimit });
const earlierAnswer = z.object({ isGranted: z.boolean(), retryMs: z.number().nonnegative() });

/** Guards against quotas that fail while a fleet is upgraded. */
describe("messages on limits between this build and ea373c5", () => {
  const ask = { host: "10.1.0.40", limit: LIMIT };
  const answer = { isGranted: true, retryMs: 0 };
  const cases: readonly [name: string, schema: z.ZodType, message: object, read: object][] = [
    ["reads its asks", askMethod.params, ask, ask],
    ["reads its answers", askMethod.result, answer, answer],
    ["reads its limits", limitsSchema, { limits: [LIMIT] }, { limits: [LIMIT] }],
    ["reads its charges", chargeSchema, { limit: LIMIT }, { limit: LIMIT }],
    ["sends asks that it reads", earlierAsk, { ...ask, cold: COLD }, ask],
    [
      "sends answers that it reads",
      earlierAnswer,
      { ...answer, isCounted: true, limit: LIMIT },
      answer,
    ],
  ];
  for (const [name, schema, message, read] of cases) {
    it(name, () => {
      expect(schema.parse(JSON.parse(JSON.stringify(message)))).to.deep.equal(read);
    });
  }
});
