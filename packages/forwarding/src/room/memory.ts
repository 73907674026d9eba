import type { EngineSpec } from "../fleetConfig.js";
import type { UpstreamLoad } from "../load.js";
import type { RoomClaim } from "./promise.js";

/** Share of an engine's KV memory that placement leaves free. */
const KV_HEADROOM = 0.05;
/** Share of a helper's free KV memory that one prompt may take. */
const HELPER_MEMORY_SHARE = 0.8;

/** KV memory that becomes free at an upstream. */
export interface Release {
  readonly inMs: number;
  readonly tokens: number;
}

/** Sum of the tokens that become free within `ms`. */
export const sumReleased = (releases: readonly Release[], ms: number): number =>
  releases.reduce((sum, { inMs, tokens }) => sum + (inMs <= ms ? tokens : 0), 0);

const sumClaimed = (claims: readonly RoomClaim[], ms: number): number =>
  claims.reduce(
    (sum, { inMs, forMs, tokens }) => sum + (inMs <= ms && ms < inMs + forMs ? tokens : 0),
    0,
  );

/**
 * Free memory that a prompt which ends in `untilMs` has to leave to those that are promised room:
 * what they need before then, beyond what becomes free until they need it.
 */
const getKeptTokens = (
  claims: readonly RoomClaim[],
  releases: readonly Release[],
  untilMs: number,
): number =>
  Math.max(
    0,
    ...claims
      .filter(({ inMs }) => inMs < untilMs)
      .map(({ inMs }) => sumClaimed(claims, inMs) - sumReleased(releases, inMs)),
  );

/** KV memory of an upstream that a prompt may use which ends in `untilMs`, in tokens. */
export const getFreeTokens = (
  engine: EngineSpec,
  {
    load,
    releases = [],
  }: {
    load: Pick<UpstreamLoad, "kvTokens"> & { claims?: readonly RoomClaim[] | undefined };
    releases?: readonly Release[] | undefined;
  },
  untilMs = Infinity,
): number => {
  const free = engine.kvTokens * (1 - KV_HEADROOM) - load.kvTokens;
  const { claims } = load;
  return claims ? free - getKeptTokens(claims, releases, untilMs) : free;
};

/** Splits the tokens that the decoder lacks among the helpers; undefined when they lack them too. */
export const splitTokens = (
  kvTokens: number,
  decoderFree: number,
  helpersFree: readonly number[],
): number[] | undefined => {
  // Reservations are whole tokens.
  let lackingTokens = Math.ceil(kvTokens - decoderFree);
  const held = helpersFree.map((free) => {
    const part = Math.floor(Math.max(0, Math.min(lackingTokens, free * HELPER_MEMORY_SHARE)));
    lackingTokens -= part;
    return part;
  });
  return lackingTokens > 0 ? undefined : held;
};

/** True when the roomiest of these upstreams hold the tokens together, `maxMembers` at most. */
export const canHold = (
  kvTokens: number,
  freeTokens: readonly number[],
  maxMembers: number,
): boolean => {
  const [decoder, ...helpers] = [...freeTokens].sort((a, b) => b - a).slice(0, maxMembers);
  return decoder !== undefined && splitTokens(kvTokens, decoder, helpers) !== undefined;
};

/** The same while nothing runs there. */
export const fitsIdle = (
  engine: EngineSpec,
  kvTokens: number,
  options: { upstreams: number; maxMembers: number },
): boolean => {
  const free = engine.kvTokens * (1 - KV_HEADROOM);
  const idle = Array.from({ length: options.upstreams }, () => free);
  return canHold(kvTokens, idle, options.maxMembers);
};

/** The same upstream while all claims on its memory hold at once and none becomes free. */
export const withClaimsNow = <T extends { load: UpstreamLoad }>(candidate: T): T => {
  const claims = candidate.load.claims?.map((claim) => ({ ...claim, inMs: 0 }));
  return { ...candidate, load: { ...candidate.load, ...(claims && { claims }) }, releases: [] };
};
