import { AnyEvents } from "@lycheepulley/core";
import type {
  AnswerFacts,
  AnswerHead,
  Dialect,
  ForwardRequest,
  HeaderList,
  UpstreamFields,
} from "@lycheepulley/forwarding";
import { z } from "zod";

const FIELDS_HEADER = "fields";
/** Header of a simulated request with the length of its answer, which only the upstream looks at. */
export const ANSWER_HEADER = "answer";

const callFieldsSchema = z.object({
  attemptId: z.string(),
  promptTokens: z.number(),
  outputTokens: z.number(),
  lastEventId: z.number(),
  urgency: z.number(),
  helpers: z.array(z.string()),
  heldTokens: z.number(),
  parts: z.array(z.string()),
});

/** Fields of a simulated call, carried in one header. */
export type CallFields = z.infer<typeof callFieldsSchema>;

const DEFAULT_URGENCY = 5;

/** Reads the fields of a call from its headers. */
export const readFields = (headers: HeaderList): CallFields =>
  callFieldsSchema.parse(JSON.parse(headers[headers.indexOf(FIELDS_HEADER) + 1] ?? ""));

/** Carries the fields of simulated calls and answers in plain words. */
export class SimulatedDialect implements Dialect {
  readonly events = new AnyEvents();

  readHead(): never {
    throw new Error("a simulated request has its head already");
  }

  newUpstreamHeaders({ head }: ForwardRequest, fields: UpstreamFields): HeaderList {
    const call: CallFields = {
      ...{ attemptId: head.attemptId, promptTokens: head.promptTokens },
      ...{ outputTokens: Number(head.headers[1]), lastEventId: Number(fields.lastEventId ?? 0) },
      parts: [...head.sharedParts],
      urgency: fields.urgency ?? DEFAULT_URGENCY,
      helpers: fields.helpers.map(({ upstream }) => upstream.id),
      // The simulation doesn't model where reserved memory lies, only that it is held elsewhere.
      heldTokens: fields.helpers.some(({ reservationId }) => reservationId) ? head.promptTokens : 0,
    };
    return [FIELDS_HEADER, JSON.stringify(call)];
  }

  readAnswer(_req: ForwardRequest, { headers }: AnswerHead): AnswerFacts {
    const faultAt = headers.indexOf("fault");
    const limitAt = headers.indexOf("limit");
    return {
      ...{ isValid: true, isNotRun: headers.includes("not-run") },
      hasLength: false,
      ...{ isEventStream: headers.includes("stream") },
      limitPerSecond: limitAt >= 0 ? Number(headers[limitAt + 1]) : undefined,
      faultAddress: faultAt >= 0 ? headers[faultAt + 1] : undefined,
    };
  }

  newAnswerHeaders({ headers }: AnswerHead): HeaderList {
    return headers;
  }
}
