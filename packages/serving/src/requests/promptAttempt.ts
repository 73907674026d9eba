import { PeerError, Step, type Clock, type Protections } from "@lycheepulley/core";
import type { EngineClient } from "@lycheepulley/engines";

import type { Grant } from "../scheduler/PoolRouter.js";
import type { UpstreamDirectory } from "../upstreams/UpstreamDirectory.js";
import { AttemptStream } from "./AttemptStream.js";
import { EngineGroup } from "./EngineGroup.js";
import type { PromptJob } from "./PromptJob.js";
import { mayHaveReached } from "./reach.js";

const MS_PER_S = 1_000;
/** The first token may take this many times the estimated prefill time, plus the slack. */
const FIRST_TOKEN_FACTOR = 4;
const FIRST_TOKEN_SLACK_MS = 5_000;

/** Error code of a grant that was void before anything was sent, so that another one is asked for. */
export const GRANT_VOID_CODE = "grant_void";

interface AttemptOptions {
  readonly job: PromptJob;
  readonly grant: Grant;
  /** Number of the attempt, from 1. */
  readonly attempt: number;
  readonly directory: UpstreamDirectory;
  readonly clock: Clock;
  readonly protections: Protections;
  /** Process name and incarnation. */
  readonly holder: string;
}

/**
 * Runs one attempt of a prompt on the engines of its grant. Throws without sending when the
 * deadline has passed or the grant is void.
 */
export const runAttempt = async (options: AttemptOptions): Promise<void> => {
  const { job, grant, clock, protections } = options;
  const { req, ctx } = job;
  const members = getEngineClients(options);
  ctx.checkDeadline(protections.deadlineCheck);
  checkGrant(options);
  const abort = new AbortController();
  const onCancel = (): void => {
    abort.abort();
  };
  req.signal.addEventListener("abort", onCancel);
  const cancelDeadline = clock.setTimer(onCancel, Math.max(1, ctx.remainingMs));
  try {
    if (members.length > 1) {
      await streamAnswerFromGroup(options, members, abort.signal);
    } else {
      await streamAnswer(options, { members, signal: abort.signal, segments: undefined });
    }
    ctx.enter(Step.LastChunk, grant.engine);
  } catch (err) {
    ctx.checkDeadline();
    throw err;
  } finally {
    cancelDeadline();
    req.signal.removeEventListener("abort", onCancel);
  }
};

/** Throws when the process was paused after the grant, or a failure domain of its engines is evacuated. */
const checkGrant = ({ grant, directory }: AttemptOptions): void => {
  const isEvacuated = grant.members.some((name) => {
    const failureDomain = directory.getEngine(name)?.vm.failureDomain;
    return failureDomain !== undefined && directory.isEvacuated(failureDomain);
  });
  if (grant.isStale || isEvacuated) {
    const reason = isEvacuated ? "failure domain evacuated" : "the process was paused";
    const options = { sent: false, code: GRANT_VOID_CODE };
    throw new PeerError(grant.engine, `${reason} after the grant`, options);
  }
};

const getEngineClients = ({ job, grant, directory }: AttemptOptions): EngineClient[] => {
  job.ctx.enter(Step.Connect, grant.engine);
  return grant.members.map((name) => {
    const client = directory.getEngine(name)?.client;
    if (!client) {
      throw job.ctx.newError("unknown_engine", `no engine ${name} is listed`);
    }
    return client;
  });
};

/** Prefills a prompt's parts on the first members and streams the answer from the last. */
const streamAnswerFromGroup = async (
  options: AttemptOptions,
  members: readonly EngineClient[],
  signal: AbortSignal,
): Promise<void> => {
  const { job, grant, clock, holder } = options;
  const { ctx, classified, req } = job;
  const group = new EngineGroup({
    members,
    clock,
    call: {
      attemptId: grant.id,
      owner: holder,
      body: req.body,
      promptTokens: classified.promptTokens,
      outputTokens: req.maxTokens,
      priority: classified.cls.priority,
      timeoutMs: Math.max(1, ctx.remainingMs),
      signal,
      onReserved: () => {
        checkGrant(options);
      },
      onReach: () => {
        ctx.noteSent();
      },
    },
  });
  try {
    const segments = await group.prepare();
    await streamAnswer(options, { members, signal: group.signal, segments });
  } catch (err) {
    throw group.lossError ?? err;
  } finally {
    await group.release();
  }
};

const streamAnswer = async (
  { job, grant, attempt, clock, protections }: AttemptOptions,
  target: {
    readonly members: readonly EngineClient[];
    readonly signal: AbortSignal;
    readonly segments: readonly string[] | undefined;
  },
): Promise<void> => {
  const { req, ctx, classified, assembler, answerTexts } = job;
  const client = target.members.at(-1);
  if (!client) {
    throw ctx.newError("unknown_engine", "the grant names no engine");
  }
  const attemptStream = new AttemptStream({
    ...{ engine: client, clock, assembler, requireEndMarker: protections.endMarker },
    onChunk: (chunk) => {
      grant.noteFirstToken();
      job.onChunk(chunk);
    },
  });
  const fromSeq = assembler.nextSeq;
  let isSendStarted = false;
  try {
    await attemptStream.run(
      {
        attemptId: grant.id,
        path: req.path,
        body: req.body,
        maxTokens: req.maxTokens,
        priority: classified.cls.priority,
        timeoutMs: Math.max(1, ctx.remainingMs),
        resume: attempt > 1 && fromSeq > 0 ? { fromSeq, text: answerTexts.join("") } : undefined,
        headers: getUpstreamHeaders(job),
        ...(target.segments ? { segments: target.segments, reservationId: grant.id } : {}),
        onSend: () => {
          ctx.enter(Step.Send, grant.engine);
          isSendStarted = true;
        },
      },
      { signal: target.signal, firstTokenTimeoutMs: getFirstTokenTimeoutMs(job) },
    );
    ctx.noteSent();
  } catch (err) {
    if (isSendStarted && (attemptStream.hasResumed || mayHaveReached(err))) {
      ctx.noteSent();
    }
    client.cancel(grant.id).catch(() => undefined);
    throw err;
  }
};

const getFirstTokenTimeoutMs = ({ classified, ctx }: PromptJob): number => {
  const { promptTokens, model } = classified;
  const prefillMs = (promptTokens / model.prefillTokensPerS) * MS_PER_S;
  const allowedMs = prefillMs * FIRST_TOKEN_FACTOR + FIRST_TOKEN_SLACK_MS;
  return Math.max(1, Math.min(ctx.remainingMs, allowedMs));
};

const getUpstreamHeaders = ({ req, ctx }: PromptJob): Record<string, string> => ({
  "x-request-id": ctx.trace.requestId,
  ...(req.idempotencyKey === undefined ? {} : { "idempotency-key": req.idempotencyKey }),
});
