import { FateState, fateSchema, MAX_STRIKES, parseRequestId, type Fate } from "@lycheepulley/core";
import { getWholeAnswer } from "@lycheepulley/standins";
import { z } from "zod";

import { getExampleKey } from "../fleet/deployment.js";
import { getOrigin, type LocalFleet } from "../fleet/LocalFleet.js";
import { SoakKind, type SoakRecord } from "./SoakCaller.js";

const engineLedgerSchema = z.object({
  runs: z.array(
    z.object({
      attemptId: z.string(),
      promptHash: z.string(),
      idempotencyKey: z.string().optional(),
    }),
  ),
});
const serviceLedgerSchema = z.object({
  effects: z.array(z.object({ key: z.string().optional(), requestId: z.string().optional() })),
});
const kvSchema = z.array(z.object({ id: z.string() }));

const MAX_CONCURRENT_LOOKUPS = 24;
/** Lookups of fates of ended processes, which are read from the log. */
const MAX_LOG_LOOKUPS = 200;
/** Time limit for sweeps to free abandoned KV memory. */
const KV_WAIT_MS = 150_000;
const KV_POLL_MS = 2_000;
const END_ALLOWANCE_MS = 2_000;
const PATIENCE_MS: Readonly<Record<SoakKind, number>> = {
  [SoakKind.Prompt]: 10_000,
  [SoakKind.OncePrompt]: 20_000,
  [SoakKind.Save]: 5_000,
};
const NOT_RUN_RESULTS: readonly string[] = ["not_run", "refused_until"];

/** Result of one check over all requests. */
export interface SoakCheck {
  readonly name: string;
  readonly checked: number;
  readonly violations: readonly string[];
}

/** What all upstreams together recorded as run. */
interface Ledger {
  readonly runIds: readonly string[];
  readonly runsByKey: ReadonlyMap<string, number>;
  readonly crashesByPrompt: ReadonlyMap<string, number>;
}

const fetchLedger = async (fleet: LocalFleet): Promise<Ledger> => {
  const runIds: string[] = [];
  const runsByKey = new Map<string, number>();
  const crashesByPrompt = new Map<string, number>();
  const count = (map: Map<string, number>, key: string): void => {
    map.set(key, (map.get(key) ?? 0) + 1);
  };
  for (const vm of fleet.engineVms) {
    const ledger = engineLedgerSchema.parse(await fleet.fetch(getOrigin(vm), "/standin/ledger"));
    for (const { attemptId, promptHash, idempotencyKey } of ledger.runs) {
      runIds.push(attemptId);
      if (attemptId === "crash") {
        count(crashesByPrompt, promptHash);
      } else if (idempotencyKey !== undefined) {
        count(runsByKey, idempotencyKey);
      }
    }
  }
  for (const vm of fleet.serviceVms) {
    const ledger = serviceLedgerSchema.parse(await fleet.fetch(getOrigin(vm), "/standin/ledger"));
    for (const { key, requestId } of ledger.effects) {
      runIds.push(requestId ?? "");
      count(runsByKey, key ?? "");
    }
  }
  return { runIds, runsByKey, crashesByPrompt };
};

/** Compares the results that callers received with the upstreams' ledgers and the fates. */
export const verifySoak = async (
  fleet: LocalFleet,
  records: readonly SoakRecord[],
): Promise<SoakCheck[]> => {
  const ledger = await fetchLedger(fleet);
  const ranRequestIds = new Set(ledger.runIds.map((id) => id.replace(/-a\d+$/, "")));
  const finished = records.filter(({ told }) => told === "finished");
  const prompts = finished.filter(({ kind }) => kind !== SoakKind.Save);
  const notRun = records.filter(({ told }) => NOT_RUN_RESULTS.includes(told));
  const notPoison = records.filter(({ isPoison }) => !isPoison);
  return [
    newCheck("whole answer", prompts, ({ text, prompt, maxTokens }) =>
      text === getWholeAnswer(prompt, maxTokens) ? undefined : `got "${text.slice(0, 40)}"`,
    ),
    newCheck("not run is true", notRun, ({ requestId }) =>
      requestId !== "" && ranRequestIds.has(requestId) ? "was run" : undefined,
    ),
    {
      name: "at most once",
      checked: ledger.runsByKey.size,
      violations: [...ledger.runsByKey]
        .filter(([, runs]) => runs > 1)
        .map(([key, runs]) => `${key} ran ${String(runs)} times`),
    },
    newCheck("ends in time", records, ({ kind, tookMs }) =>
      tookMs > PATIENCE_MS[kind] + END_ALLOWANCE_MS ? `took ${tookMs.toFixed(0)} ms` : undefined,
    ),
    {
      name: "engines lost per poisonous prompt",
      checked: ledger.crashesByPrompt.size,
      violations: [...ledger.crashesByPrompt]
        .filter(([, crashes]) => crashes > MAX_STRIKES)
        .map(([hash, crashes]) => `${hash.slice(0, 8)} crashed ${String(crashes)} engines`),
    },
    newCheck("no innocent blocked", notPoison, ({ code }) =>
      code === "blocked" ? "was blocked" : undefined,
    ),
    await checkFates(fleet, records, ranRequestIds),
    await checkMemory(fleet),
  ];
};

const newCheck = (
  name: string,
  records: readonly SoakRecord[],
  findViolation: (record: SoakRecord) => string | undefined,
): SoakCheck => ({
  name,
  checked: records.length,
  violations: records.flatMap((record) => {
    const violation = findViolation(record);
    return violation === undefined ? [] : [`${record.requestId || record.kind}: ${violation}`];
  }),
});

/**
 * Checks that fates agree with the results that callers received; a killed process may leave
 * "unknown".
 */
const checkFates = async (
  fleet: LocalFleet,
  records: readonly SoakRecord[],
  ranRequestIds: ReadonlySet<string>,
): Promise<SoakCheck> => {
  const liveProcesses = new Set(fleet.entries.map(({ vm }) => vm.id));
  const identified = records.filter(({ requestId }) => requestId !== "");
  const isLive = ({ requestId }: SoakRecord): boolean =>
    liveProcesses.has(parseRequestId(requestId)?.process ?? "");
  const lookups = [
    ...identified.filter(isLive),
    ...identified.filter((record) => !isLive(record)).slice(0, MAX_LOG_LOOKUPS),
  ];
  const violations: string[] = [];
  let next = 0;
  const runLookups = async (): Promise<void> => {
    for (let record = lookups[next++]; record; record = lookups[next++]) {
      const fate = await fetchFate(fleet, record, next);
      const mismatch = findFateMismatch(record, fate, { ranRequestIds, isLive: isLive(record) });
      if (mismatch !== undefined) {
        violations.push(`${record.requestId}: ${mismatch}`);
      }
    }
  };
  await Promise.all(Array.from({ length: MAX_CONCURRENT_LOOKUPS }, runLookups));
  return { name: "fates are true", checked: lookups.length, violations };
};

const fetchFate = async (
  fleet: LocalFleet,
  { requestId }: SoakRecord,
  lookupIndex: number,
): Promise<Fate | undefined> => {
  const vm = fleet.entries[lookupIndex % fleet.entries.length]?.vm;
  const res = await fetch(`${vm ? getOrigin(vm) : ""}/v1/requests/${requestId}`, {
    headers: { authorization: `Bearer ${getExampleKey("nutibara")}` },
  });
  return fateSchema.safeParse(await res.json()).data;
};

const findFateMismatch = (
  { told, requestId }: SoakRecord,
  fate: Fate | undefined,
  options: { ranRequestIds: ReadonlySet<string>; isLive: boolean },
): string | undefined => {
  if (!fate) {
    return "no fate";
  }
  const { state } = fate;
  if (state === FateState.Unknown) {
    return options.isLive ? "fate unknown although its process is live" : undefined;
  }
  if (state === FateState.NotRun && options.ranRequestIds.has(requestId)) {
    return "fate not run, but it was run";
  }
  if (told === "finished" && state !== FateState.Finished) {
    return `told finished, fate ${state}`;
  }
  if (NOT_RUN_RESULTS.includes(told) && state !== FateState.NotRun) {
    return `told ${told}, fate ${state}`;
  }
  return undefined;
};

/** Checks that engines free all KV memory after every request has ended and sweeps have run. */
const checkMemory = async (fleet: LocalFleet): Promise<SoakCheck> => {
  const untilMs = performance.now() + KV_WAIT_MS;
  let held: string[] = [];
  do {
    held = [];
    for (const vm of fleet.engineVms) {
      const holdings = kvSchema.parse(await fleet.fetch(getOrigin(vm), "/ext/v1/kv"));
      held.push(...holdings.map(({ id }) => `${vm.id} holds ${id}`));
    }
    if (held.length > 0) {
      await new Promise((resolve) => setTimeout(resolve, KV_POLL_MS));
    }
  } while (held.length > 0 && performance.now() < untilMs);
  return { name: "no memory lost", checked: fleet.engineVms.length, violations: held };
};
