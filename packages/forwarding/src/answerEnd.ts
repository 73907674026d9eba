import { AnswerEnd, AnswerFault, EventFault, type InvalidBytes } from "@lycheepulley/core";

import {
  FIRST_ERROR_STATUS,
  SendResult,
  type BufferedAnswer,
  type SendOutcome,
} from "./outcomes.js";
import { SendState, type AnswerHead, type AnswerWriter, type Dialect } from "./types.js";

const CUT: SendOutcome = { result: SendResult.Broken, reason: "answer cut", isCut: true };

/** The stream's last event may lack its end, whatever the framing says. */
export const CUT_EVENT: SendOutcome = { ...CUT, reason: "stream ended inside an event" };

/** The upstream sent what is no event; what came before was valid, and another send may go on behind it. */
export const newInvalidOutcome = ({ fault, offset }: InvalidBytes): SendOutcome => ({
  ...{ result: SendResult.Broken, isInvalid: true },
  reason: `invalid event: ${fault} at byte ${String(offset)}`,
});

const FLOODS: ReadonlySet<AnswerFault | EventFault> = new Set([
  ...[AnswerFault.Flood, AnswerFault.Length, EventFault.Lines, EventFault.Length],
]);

/** True for a fault of an answer without end. */
export const isFlood = (fault: AnswerFault | EventFault | undefined): boolean =>
  fault !== undefined && FLOODS.has(fault);

/**
 * Finds the outcome of a send whose call failed. `isSaid`: its head states that the request didn't run, which holds whatever
 * floods the body.
 */
export const newErrorOutcome = ({
  state,
  err: { message: reason },
  fault,
  isSaid,
}: {
  state: SendState;
  err: Error;
  fault: AnswerFault | undefined;
  isSaid: boolean;
}): SendOutcome => {
  if (fault === AnswerFault.Flood && isSaid) {
    return { result: SendResult.NotRun, reason: `not run, ${reason}` };
  }
  const isSent = state === SendState.Sent;
  const isInvalid = fault !== undefined;
  const result = isSent ? SendResult.Broken : SendResult.Unsent;
  return { result, reason, isInvalid, isCut: isSent && !isInvalid };
};

const ENDED_WITH_UPSTREAM: SendOutcome = {
  ...{ ...CUT, reason: "upstream ended with an answer that has no framing" },
};

const DOUBT = "end of an unframed answer in doubt";

/**
 * Finds the outcome of a send whose answer isn't known to be whole. That an unframed answer's upstream is gone shows a crash;
 * that it accepts connections shows nothing, since it may have started anew.
 */
export const findEndFault = async (
  end: Exclude<AnswerEnd, typeof AnswerEnd.Whole>,
  { status }: AnswerHead,
  accepts: () => Promise<boolean>,
): Promise<SendOutcome> => {
  if (end === AnswerEnd.Cut) {
    return CUT;
  }
  if (!(await accepts())) {
    return ENDED_WITH_UPSTREAM;
  }
  return status >= FIRST_ERROR_STATUS
    ? { result: SendResult.Failed, reason: `status ${String(status)}, ${DOUBT}` }
    : { result: SendResult.Doubtful, reason: DOUBT };
};

/** Sends a whole answer to the caller. */
export const deliverAnswer = (
  { head, body }: BufferedAnswer,
  writer: AnswerWriter,
  dialect: Dialect,
): void => {
  writer.sendHead(head.status, dialect.newAnswerHeaders(head, { keepLength: true }));
  writer.write(body);
  writer.end();
};
