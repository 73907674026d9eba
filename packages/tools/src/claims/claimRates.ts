import {
  ALL_PROTECTIONS,
  ClaimState,
  RecordKind,
  RegisterFold,
  SystemClock,
  SystemRandom,
  TokenBucket,
} from "@lycheepulley/core";
import { FoldReader, HttpLogClient, LogWriter, Proposer } from "@lycheepulley/log";
import { ClaimShard, getClaimStream } from "@lycheepulley/serving";
import { PlatformStandin } from "@lycheepulley/standins";
import { build } from "hdr-histogram-js";
import { z } from "zod";

const HOST = "127.0.0.1";
const SHARD_OWNERS = 6;
/** Append rate that the log allows all owners together. */
const APPENDS_PER_S = 300;
const LOG_DELAY_MS = 10;
const CLAIM_TIMEOUT_MS = 10_000;
const CLAIM_WINDOW_MS = 3_600_000;
const MS_PER_S = 1_000;
const APPEND_BURST = 10;
const TICK_MS = 4;

const statsSchema = z.object({ appends: z.number(), bytes: z.number(), refused: z.number() });

/** Cost and latency of claims at one rate. */
export interface ClaimRate {
  readonly claimsPerS: number;
  readonly seconds: number;
  readonly granted: number;
  readonly failed: number;
  readonly appendsPerS: number;
  readonly refusedAppends: number;
  /** Bytes written to the log for one claim and its end. */
  readonly bytesPerClaim: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
}

const clock = new SystemClock();

const newShardOwner = (
  origin: string,
  index: number,
): { shard: ClaimShard; stop: () => Promise<void> } => {
  const log = new HttpLogClient({ origin });
  const stream = getClaimStream(index);
  const writerName = `owner-${String(index)}.${String(Date.now())}`;
  const fold = new RegisterFold({ retentionMs: { [RecordKind.Claim]: CLAIM_WINDOW_MS } });
  const reader = new FoldReader({ log, stream, clock, fold, skipsTrimmedEntries: true });
  const budget = new TokenBucket({
    clock,
    ratePerS: APPENDS_PER_S / SHARD_OWNERS,
    burst: APPEND_BURST,
  });
  const random = new SystemRandom();
  const writer = new LogWriter({ log, stream, clock, random, writer: writerName, budget });
  const proposer = new Proposer({ writer, reader, clock, writerName });
  reader.start();
  const stop = async (): Promise<void> => {
    await writer.close();
    await reader.stop();
    await log.close();
  };
  return { shard: new ClaimShard({ proposer, clock, protections: ALL_PROTECTIONS }), stop };
};

/** Claims and ends keys at a steady rate, spread over the shard owners, against one log. */
export const measureClaimRate = async (claimsPerS: number, seconds: number): Promise<ClaimRate> => {
  const platform = new PlatformStandin({
    ...{ host: HOST, port: 0, clock, appendsPerS: APPENDS_PER_S, logDelayMs: LOG_DELAY_MS },
  });
  await platform.listen();
  const origin = `http://${HOST}:${String(platform.port)}`;
  const owners = Array.from({ length: SHARD_OWNERS }, (_, i) => newShardOwner(origin, i));
  const latencies = build({ highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 });
  let granted = 0;
  let failed = 0;
  const claimAndEnd = async (number: number): Promise<void> => {
    const shard = owners[number % SHARD_OWNERS]?.shard;
    const requestId = `req_poblado-1.mx810bgt.h6j.${number.toString(36)}`;
    const request = {
      ...{ key: `nutibara/taller/key-${String(number)}`, requestId, holder: "poblado-1.mx810bgt" },
      ...{ bodySha256: "0".repeat(64), deadlineMs: Date.now() + CLAIM_TIMEOUT_MS },
    };
    const startMs = performance.now();
    const answer = await shard?.claim(request, CLAIM_TIMEOUT_MS);
    latencies.recordValue(Math.max(1, Math.round((performance.now() - startMs) * MS_PER_S)));
    granted += answer?.result === "granted" ? 1 : 0;
    failed += answer?.result === "granted" ? 0 : 1;
    const outcome = { status: 201, body: '{"saved":true}' };
    const end = { key: request.key, requestId, state: ClaimState.Ran, outcome };
    await shard?.end(end, CLAIM_TIMEOUT_MS);
  };
  const pending: Promise<void>[] = [];
  const startMs = performance.now();
  const total = claimsPerS * seconds;
  for (let sent = 0; sent < total;) {
    const dueCount = Math.min(total, ((performance.now() - startMs) / MS_PER_S) * claimsPerS + 1);
    for (; sent < dueCount; sent += 1) {
      pending.push(claimAndEnd(sent));
    }
    await new Promise((resolve) => setTimeout(resolve, TICK_MS));
  }
  await Promise.all(pending);
  const spanS = (performance.now() - startMs) / MS_PER_S;
  const stats = statsSchema.parse(await (await fetch(`${origin}/standin/log/stats`)).json());
  await Promise.all(owners.map(({ stop }) => stop()));
  await platform.close();
  const at = (percentile: number): number => latencies.getValueAtPercentile(percentile) / MS_PER_S;
  return {
    ...{ claimsPerS, seconds, granted, failed },
    appendsPerS: stats.appends / spanS,
    refusedAppends: stats.refused,
    bytesPerClaim: stats.bytes / Math.max(1, granted),
    ...{ p50Ms: at(50), p95Ms: at(95), p99Ms: at(99) },
  };
};
