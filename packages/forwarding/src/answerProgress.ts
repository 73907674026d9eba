import type { AnswerFault, EventFault, Framing, ReadCost } from "@lycheepulley/core";

import type { Route } from "./fleetConfig.js";
import type { StallHandler } from "./StallWatch.js";
import type { AnswerFacts, ForwardRequest } from "./types.js";

/** State of the caller's answer, shared by all sends of a request. */
export interface AnswerProgress {
  /** Id of the last event that went to the caller. */
  lastEventId: string | undefined;
  /** The last event that went to the caller has no id or an empty one, so that nothing tells where another send would go on. */
  isLastUnnamed: boolean;
  /** The caller has events of an upstream that writes without end, behind which no other can go on. */
  isFlooded: boolean;
  /** The head of the answer was sent to the caller. */
  isHeadSent: boolean;
}

/** Progress of a request that has no answer yet. */
export const newAnswerProgress = ({ head: { lastEventId } }: ForwardRequest): AnswerProgress => ({
  ...{ lastEventId, isLastUnnamed: false, isFlooded: false, isHeadSent: false },
});

/** An id that no event has: the upstream may begin anywhere. */
const UNKNOWN_EVENT = "";

/** Id of the event behind which an answer begins; on routes that can't be resumed a caller's own id may mean nothing. */
export const getEventsBefore = (
  { lastEventId }: AnswerProgress,
  { isResumable }: Route,
): string | undefined => (isResumable || lastEventId === undefined ? lastEventId : UNKNOWN_EVENT);

/** True while the caller has nothing of the answer, or has a part that another send can go on with. */
export const canGoOn = (
  { isHeadSent, isLastUnnamed, isFlooded }: AnswerProgress,
  { isStream, isResumable }: Route,
): boolean => !isHeadSent || (isStream && isResumable && !isLastUnnamed && !isFlooded);

/** What comes without end in a flood. */
export const FloodForm = {
  /** Small chunks, whatever is in them. */
  Chunks: "chunks",
  /** Small lines, events or comments, in chunks of any size. */
  Lines: "lines",
  /** Bytes in pieces of any size. */
  Bytes: "bytes",
} as const;
export type FloodForm = (typeof FloodForm)[keyof typeof FloodForm];

/** What an upstream sent that is no part of an answer. */
export interface InvalidAnswer {
  readonly fault: AnswerFault | EventFault;
  /** Bytes of the body before it. */
  readonly offset: number;
  readonly framing: Framing | undefined;
  /** What it has cost, for a flood. */
  readonly cost?: ReadCost | undefined;
  readonly form?: FloodForm | undefined;
}

/** Follows the answer to one send, and decides what becomes of a stalled one. */
export interface AnswerObserver extends StallHandler {
  /** Called before anything of the answer goes to the caller. */
  onProgress(): void;
  /** Called with the head of each answer that is the request's. */
  onHead(facts: AnswerFacts, status: number): void;
  /** Called at most once, with what makes the answer invalid. */
  onInvalid(invalid: InvalidAnswer): void;
  /** Called when `count` events of the answer arrived. */
  onEvents(count: number): void;
}

/** Follows one send. */
export interface SendObserver extends AnswerObserver {
  /** Called right before the request goes to the upstream. */
  onOpen(): void;
}
