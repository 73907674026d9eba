import {
  evacuationStatementSchema,
  isLoadItem,
  loadItemSchema,
  newUpstreamLoad,
  PeerState,
  type LoadItem,
  type PeerIdentity,
  type UpstreamLoad,
} from "@lycheepulley/forwarding";
import type { MessageParser } from "@lycheepulley/nodes";
import { z } from "zod";

/** Version of the messages that this build reads, which it names in its heartbeats. */
export const PROTOCOL = 3;
/** Version from which on processes ask relays for loads. */
export const PROTOCOL_WITH_QUESTIONS = 2;
/** Version from which on evidence on crashes names whole requests. */
const PROTOCOL_WITH_CRASH_REQUESTS = 3;

/** Hosts named in one heartbeat with a snapshot; successive ones go through all known hosts. */
export const MAX_GOSSIP_HOSTS = 8;

const PEER_STATES: readonly unknown[] = Object.values(PeerState);

const identitySchema = z.object({
  host: z.string(),
  incarnation: z.number(),
  failureDomain: z.string(),
  capacity: z.number(),
  callerAddress: z.string(),
  state: z.enum([PeerState.Joining, PeerState.Live, PeerState.Leaving]),
  revision: z.number(),
  listGeneration: z.number().int().nonnegative().optional(),
  listEpoch: z.number().optional(),
  listVersion: z.number(),
  listDigest: z.string(),
  reads: z.object({ configMs: z.number().optional(), listMs: z.number().optional() }),
  beatMs: z.number().nonnegative(),
  beat: z.number().int().optional(),
  protocol: z.number().int().optional(),
  evacuations: evacuationStatementSchema.optional().catch(undefined),
});
/** Identity of a process, which hosts it knows, and at times all its in-flight requests. */
export const heartbeatSchema = z.object({
  identity: identitySchema,
  hosts: z.array(z.string()).max(MAX_GOSSIP_HOSTS),
  seq: z.number().int(),
  items: z.array(loadItemSchema).optional(),
});
export type Heartbeat = z.output<typeof heartbeatSchema>;
/** Heartbeats of several processes, as a relay sends them on. */
export const heartbeatBatchSchema = z.object({ beats: z.array(heartbeatSchema) });
/** A change of one process's load. */
export const loadChangeSchema = z.object({
  host: z.string(),
  incarnation: z.number(),
  seq: z.number().int(),
  changed: z.array(loadItemSchema),
  writing: z.array(z.string()),
  ended: z.array(z.string()),
});
export type LoadChangeMessage = z.output<typeof loadChangeSchema>;
/** Load changes of several processes, as a relay sends them on. */
export const loadBatchSchema = z.object({ changes: z.array(loadChangeSchema) });
/** True for a process that reads evidence on whole requests beside that on parts of prompts. */
export const readsCrashRequests = ({ protocol = 1 }: Pick<PeerIdentity, "protocol">): boolean =>
  protocol >= PROTOCOL_WITH_CRASH_REQUESTS;

/** What a process found out about an upstream: it said that it leaves, it is dead, or one start of it is lost. */
export const upstreamNewsSchema = z.object({ upstream: z.string() });

/** Most upstreams of one question for loads. */
export const MAX_QUESTION_UPSTREAMS = 32;

/** Asks a relay for the loads of these upstreams. */
export const loadQuestionSchema = z.object({
  question: z.number().int(),
  upstreams: z.array(z.string()).max(MAX_QUESTION_UPSTREAMS),
});

const amountSchema = z.number().nonnegative();

/** Order of the amounts of a load in an answer. */
const LOAD_AMOUNTS = [
  ...(["inFlight", "apart", "deferred", "helping", "pendingReadMs", "pendingHelpMs"] as const),
  ...(["decoding", "kvTokens", "contextTokens", "unseen"] as const),
] as const;
/** Numbers that stand for one answer in the decode phase, and for one part of a prompt. */
const DECODE_NUMBERS = 2;
const PREFILL_NUMBERS = 4;

const upstreamLoadSchema = z.tuple([
  z.string(),
  /** {@link LOAD_AMOUNTS}, and the smallest gap objective, 0 for none. */
  z.array(amountSchema).length(LOAD_AMOUNTS.length + 1),
  /** Gap objective and value of each answer. */
  z.array(amountSchema),
  /** Time to objective and deadline, value, and 1 at the decoder, of each part of a prompt. */
  z.array(z.number()),
]);
type CodedLoad = z.output<typeof upstreamLoadSchema>;

/** Most claims on memory of one answer. */
const MAX_CLAIMS = 64;
const CLAIM_NUMBERS = 5;
const claimSchema = z.tuple([
  z.string(),
  z.string(),
  /** Place, times until the memory is needed and until there is room, time for which it is needed, and tokens. */
  z.array(amountSchema).length(CLAIM_NUMBERS),
]);
type CodedClaim = z.output<typeof claimSchema>;

/** Loads of those of the upstreams that have any; none unless the relay knows of all requests. */
export const loadAnswerSchema = z.object({
  question: z.number().int(),
  isWhole: z.boolean(),
  loads: z.array(upstreamLoadSchema).max(MAX_QUESTION_UPSTREAMS),
  /** Expected ends of the requests at each of these upstreams, milliseconds from now. */
  ends: z.array(z.array(amountSchema)).max(MAX_QUESTION_UPSTREAMS).optional(),
  /** Claims of prompts that are promised memory, by upstream and id; unknown to earlier builds. */
  claims: z.array(claimSchema).max(MAX_CLAIMS).optional(),
});
export type LoadAnswer = z.output<typeof loadAnswerSchema>;

const DIGITS = 100;

const round = (value: number): number => Math.round(value * DIGITS) / DIGITS;

const encodeLoad = (id: string, load: UpstreamLoad): CodedLoad => [
  id,
  [
    ...LOAD_AMOUNTS.map((name) => round(load[name])),
    Number.isFinite(load.minGapMs) ? load.minGapMs : 0,
  ],
  load.decodes.flatMap(({ maxGapMs, value }) => [maxGapMs, value]),
  load.prefills.flatMap(({ targetLeftMs, deadlineLeftMs, value, isDecoder }) => [
    ...[round(targetLeftMs), round(deadlineLeftMs), value, isDecoder ? 1 : 0],
  ]),
];

/** Splits a row of numbers into groups of the same size. */
const group = (numbers: readonly number[], size: number): number[][] =>
  Array.from({ length: Math.floor(numbers.length / size) }, (_, index) =>
    numbers.slice(index * size, (index + 1) * size),
  );

const decodeLoad = (
  [, amounts, decodes, prefills]: CodedLoad,
  endsMs: readonly number[],
): UpstreamLoad => {
  const load = newUpstreamLoad();
  load.endsMs = [...endsMs];
  LOAD_AMOUNTS.forEach((name, index) => {
    load[name] = amounts[index] ?? 0;
  });
  load.minGapMs = amounts[LOAD_AMOUNTS.length] || Infinity;
  load.decodes = group(decodes, DECODE_NUMBERS).map(([maxGapMs = 0, value = 0]) => ({
    ...{ maxGapMs, value },
  }));
  load.prefills = group(prefills, PREFILL_NUMBERS).map(
    ([targetLeftMs = 0, deadlineLeftMs = 0, value = 0, isDecoder]) => ({
      ...{ targetLeftMs, deadlineLeftMs, value, isDecoder: isDecoder === 1 },
    }),
  );
  return load;
};

/** The answer to a question for `upstreams`. */
export const toLoadAnswer = (options: {
  question: number;
  isWhole: boolean;
  upstreams: readonly string[];
  loads: ReadonlyMap<string, UpstreamLoad>;
}): LoadAnswer => {
  const loads = options.upstreams.flatMap((id) => {
    const load = options.loads.get(id);
    return load ? [{ id, load }] : [];
  });
  const ends = loads.map(({ load }) => load.endsMs.map(Math.round));
  return {
    question: options.question,
    isWhole: options.isWhole,
    loads: loads.map(({ id, load }) => encodeLoad(id, load)),
    ...(ends.some(({ length }) => length > 0) && { ends }),
    ...encodeClaims(options),
  };
};

const encodeClaims = (options: {
  upstreams: readonly string[];
  loads: ReadonlyMap<string, UpstreamLoad>;
}): { claims?: CodedClaim[] } => {
  const claims = options.upstreams.flatMap((upstream) =>
    (options.loads.get(upstream)?.claims ?? []).map(
      ({ id, place, inMs, roomMs, forMs, tokens }): CodedClaim => [
        ...([upstream, id] as const),
        [place, round(inMs), round(roomMs), round(forMs), tokens],
      ],
    ),
  );
  return claims.length > 0 ? { claims: claims.slice(0, MAX_CLAIMS) } : {};
};

/** The loads of an answer by upstream. */
export const toLoads = ({
  loads,
  ends = [],
  claims = [],
}: LoadAnswer): Map<string, UpstreamLoad> => {
  const decoded = new Map(
    loads.map((coded, at) => [coded[0], decodeLoad(coded, ends[at] ?? [])] as const),
  );
  for (const [upstream, id, [place = 0, inMs = 0, roomMs = 0, forMs = 0, tokens = 0]] of claims) {
    const load = decoded.get(upstream) ?? newUpstreamLoad();
    load.claims = [...(load.claims ?? []), { id, place, inMs, roomMs, forMs, tokens }];
    decoded.set(upstream, load);
  }
  return decoded;
};

type Fields = Readonly<Record<string, unknown>>;

const isFields = (value: unknown): value is Fields =>
  typeof value === "object" && value !== null && !Array.isArray(value);

const isNumber = (value: unknown): value is number => Number.isFinite(value);

const isOptionalNumber = (value: unknown): boolean => value === undefined || isNumber(value);

const isOptionalCount = (value: unknown): boolean =>
  value === undefined || (Number.isSafeInteger(value) && (value as number) >= 0);

const isArrayOf = (value: unknown, isItem: (item: unknown) => boolean): boolean =>
  Array.isArray(value) && value.every(isItem);

const isString = (value: unknown): value is string => typeof value === "string";

const isReads = (value: unknown): boolean =>
  isFields(value) && isOptionalNumber(value["configMs"]) && isOptionalNumber(value["listMs"]);

const isEvacuations = (value: unknown): boolean =>
  value === undefined ||
  (isFields(value) &&
    isOptionalCount(value["generation"]) &&
    isOptionalNumber(value["epoch"]) &&
    isNumber(value["version"]) &&
    isArrayOf(value["domains"], isString) &&
    (value["held"] === undefined || isArrayOf(value["held"], isString)));

const IDENTITY_STRINGS = ["host", "failureDomain", "callerAddress", "listDigest"] as const;
const IDENTITY_NUMBERS = ["incarnation", "capacity", "revision", "listVersion"] as const;

const isIdentity = (value: unknown): value is PeerIdentity =>
  isFields(value) &&
  IDENTITY_STRINGS.every((field) => isString(value[field])) &&
  IDENTITY_NUMBERS.every((field) => isNumber(value[field])) &&
  PEER_STATES.includes(value["state"]) &&
  isOptionalCount(value["listGeneration"]) &&
  isOptionalNumber(value["listEpoch"]) &&
  isReads(value["reads"]) &&
  isNumber(value["beatMs"]) &&
  value["beatMs"] >= 0 &&
  (value["beat"] === undefined || Number.isSafeInteger(value["beat"])) &&
  (value["protocol"] === undefined || Number.isSafeInteger(value["protocol"])) &&
  isEvacuations(value["evacuations"]);

const isItems = (value: unknown): value is LoadItem[] => isArrayOf(value, isLoadItem);

const isHeartbeat = (value: unknown): value is Heartbeat =>
  isFields(value) &&
  isIdentity(value["identity"]) &&
  isArrayOf(value["hosts"], isString) &&
  (value["hosts"] as unknown[]).length <= MAX_GOSSIP_HOSTS &&
  Number.isSafeInteger(value["seq"]) &&
  (value["items"] === undefined || isItems(value["items"]));

const isLoadChange = (value: unknown): value is LoadChangeMessage =>
  isFields(value) &&
  isString(value["host"]) &&
  isNumber(value["incarnation"]) &&
  Number.isSafeInteger(value["seq"]) &&
  isItems(value["changed"]) &&
  isArrayOf(value["writing"], isString) &&
  isArrayOf(value["ended"], isString);

/** Takes what the check accepts as it is, and leaves the rest to the schema, which fills in defaults. */
const newParser = <T>(
  schema: z.ZodType<T>,
  isComplete: (value: unknown) => value is T,
): MessageParser<T> => ({
  safeParse: (value) =>
    isComplete(value) ? { success: true, data: value } : schema.safeParse(value),
});

/** Parsers of the messages that arrive many times a second. */
export const heartbeatParser = newParser(heartbeatSchema, isHeartbeat);
export const heartbeatBatchParser = newParser(
  heartbeatBatchSchema,
  (value): value is { beats: Heartbeat[] } =>
    isFields(value) && isArrayOf(value["beats"], isHeartbeat),
);
export const loadChangeParser = newParser(loadChangeSchema, isLoadChange);
export const loadBatchParser = newParser(
  loadBatchSchema,
  (value): value is { changes: LoadChangeMessage[] } =>
    isFields(value) && isArrayOf(value["changes"], isLoadChange),
);

const isAmount = (value: unknown): boolean => isNumber(value) && value >= 0;

const isCodedLoad = (value: unknown): value is CodedLoad =>
  Array.isArray(value) &&
  value.length === 4 &&
  isString(value[0]) &&
  isArrayOf(value[1], isAmount) &&
  (value[1] as unknown[]).length === LOAD_AMOUNTS.length + 1 &&
  isArrayOf(value[2], isAmount) &&
  isArrayOf(value[3], isNumber);

const isCodedClaim = (value: unknown): value is CodedClaim =>
  Array.isArray(value) &&
  value.length === 3 &&
  isString(value[0]) &&
  isString(value[1]) &&
  isArrayOf(value[2], isAmount) &&
  (value[2] as unknown[]).length === CLAIM_NUMBERS;

const isOptionalClaims = (value: unknown): boolean =>
  value === undefined ||
  (isArrayOf(value, isCodedClaim) && (value as unknown[]).length <= MAX_CLAIMS);

export const loadAnswerParser = newParser(
  loadAnswerSchema,
  (value): value is LoadAnswer =>
    isFields(value) &&
    Number.isSafeInteger(value["question"]) &&
    typeof value["isWhole"] === "boolean" &&
    isArrayOf(value["loads"], isCodedLoad) &&
    (value["loads"] as unknown[]).length <= MAX_QUESTION_UPSTREAMS &&
    (value["ends"] === undefined ||
      isArrayOf(value["ends"], (ends) => isArrayOf(ends, isAmount))) &&
    isOptionalClaims(value["claims"]),
);
