/** Log stream of configuration, leases, blocked prompts and audit lines. */
export const CONTROL_STREAM = "control";

/** Number of log streams for fates; each process is hashed to one of them. */
const FATE_STREAM_COUNT = 4;
const HASH_FACTOR = 31;

/** Log stream of the claims of one shard. */
export const getClaimStream = (shard: number): string => `claims.${String(shard)}`;

/** Log stream of the fates of a process. */
export const getFateStream = (process: string): string => {
  const hash = [...process].reduce(
    (sum, char) => (sum * HASH_FACTOR + (char.codePointAt(0) ?? 0)) % FATE_STREAM_COUNT,
    0,
  );
  return `fates.${String(hash)}`;
};
