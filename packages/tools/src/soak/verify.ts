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

const CONCURRENT_QUESTIONS = 24;
const MAX_LOG_LOOKUPS = 200;
const KV_WAIT_MS = 150_000;
const KV_POLL_MS = 2_000;
const END_SLACK_MS = 2_000;
const PATIENCE_MS: Readonly<Record<SoakKind, number>> = {
  [SoakKind.Prompt]: 10_000,
  [SoakKind.OncePrompt]: 20_000,
  [SoakKind.Save]: 5_000,
};
const NOT_RUN: readonly string[] = ["not_run", "refused_until"];

/** Result of one check over all requests. */
export interface SoakCheck {
  readonly name: string;
  readonly checked: number;
  readonly violations: readonly string[];
}

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

/** Compares what callers were told with the upstreams' own accounts and the fates. */
export const verifySoak = async (
  fleet: LocalFleet,
  records: readonly SoakRecord[],
): Promise<SoakCheck[]> => {
  const ledger = await fetchLedger(fleet);
  const ran = new Set(ledger.runIds.map((id) => id.replace(/-a\d+$/, "")));
  const finished = records.filter(({ told }) => told === "finished");
  const prompts = finished.filter(({ kind }) => kind !== SoakKind.Save);
  const notRun = records.filter(({ told }) => NOT_RUN.includes(told));
  const innocents = records.filter(({ isPoison }) => !isPoison);
  return [
    newCheck("whole answer", prompts, ({ text, prompt, maxTokens }) =>
      text === getWholeAnswer(prompt, maxTokens) ? undefined : `got "${text.slice(0, 40)}"`,
    ),
    newCheck("not run is true", notRun, ({ requestId }) =>
      requestId !== "" && ran.has(requestId) ? "ran all the same" : undefined,
    ),
    {
      name: "at most once",
      checked: ledger.runsByKey.size,
      violations: [...ledger.runsByKey]
        .filter(([, runs]) => runs > 1)
        .map(([key, runs]) => `${key} ran ${String(runs)} times`),
    },
    newCheck("ends in time", records, ({ kind, tookMs }) =>
      tookMs > PATIENCE_MS[kind] + END_SLACK_MS ? `took ${tookMs.toFixed(0)} ms` : undefined,
    ),
    {
      name: "engines lost per poisonous prompt",
      checked: ledger.crashesByPrompt.size,
      violations: [...ledger.crashesByPrompt]
        .filter(([, crashes]) => crashes > MAX_STRIKES)
        .map(([hash, crashes]) => `${hash.slice(0, 8)} took ${String(crashes)} engines`),
    },
    newCheck("no innocent blocked", innocents, ({ code }) =>
      code === "blocked" ? "was blocked" : undefined,
    ),
    await checkFates(fleet, records, ran),
    await checkMemory(fleet),
  ];
};

const newCheck = (
  name: string,
  records: readonly SoakRecord[],
  find: (record: SoakRecord) => string | undefined,
): SoakCheck => ({
  name,
  checked: records.length,
  violations: records.flatMap((record) => {
    const found = find(record);
    return found === undefined ? [] : [`${record.requestId || record.kind}: ${found}`];
  }),
});

/** Fates agree with what callers were told; a killed process may leave "unknown". */
const checkFates = async (
  fleet: LocalFleet,
  records: readonly SoakRecord[],
  ran: ReadonlySet<string>,
): Promise<SoakCheck> => {
  const live = new Set(fleet.entries.map(({ vm }) => vm.id));
  const known = records.filter(({ requestId }) => requestId !== "");
  const isLive = ({ requestId }: SoakRecord): boolean =>
    live.has(parseRequestId(requestId)?.process ?? "");
  const asked = [
    ...known.filter(isLive),
    ...known.filter((record) => !isLive(record)).slice(0, MAX_LOG_LOOKUPS),
  ];
  const violations: string[] = [];
  let next = 0;
  const ask = async (): Promise<void> => {
    for (let record = asked[next++]; record; record = asked[next++]) {
      const fate = await fetchFate(fleet, record, next);
      const fault = findFateFault(record, fate, { ran, isLive: isLive(record) });
      if (fault !== undefined) {
        violations.push(`${record.requestId}: ${fault}`);
      }
    }
  };
  await Promise.all(Array.from({ length: CONCURRENT_QUESTIONS }, ask));
  return { name: "fates are true", checked: asked.length, violations };
};

const fetchFate = async (
  fleet: LocalFleet,
  { requestId }: SoakRecord,
  turn: number,
): Promise<Fate | undefined> => {
  const vm = fleet.entries[turn % fleet.entries.length]?.vm;
  const res = await fetch(`${vm ? getOrigin(vm) : ""}/v1/requests/${requestId}`, {
    headers: { authorization: `Bearer ${getExampleKey("nutibara")}` },
  });
  return fateSchema.safeParse(await res.json()).data;
};

const findFateFault = (
  { told, requestId }: SoakRecord,
  fate: Fate | undefined,
  options: { ran: ReadonlySet<string>; isLive: boolean },
): string | undefined => {
  if (!fate) {
    return "no fate";
  }
  const { state } = fate;
  if (state === FateState.Unknown) {
    return options.isLive ? "unknown though its process lives" : undefined;
  }
  if (state === FateState.NotRun && options.ran.has(requestId)) {
    return "fate not run, but it ran";
  }
  if (told === "finished" && state !== FateState.Finished) {
    return `told finished, fate ${state}`;
  }
  if (NOT_RUN.includes(told) && state !== FateState.NotRun) {
    return `told ${told}, fate ${state}`;
  }
  return undefined;
};

/** Engines hold nothing once every request has ended and sweeps have passed. */
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
