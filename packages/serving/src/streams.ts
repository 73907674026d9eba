/** Stream of the log that holds configuration, leases, blocks and audit lines. */
export const CONTROL_STREAM = "control";

/** Number of log streams over which processes spread their fates. */
const FATE_STREAMS = 4;
const HASH_FACTOR = 31;

/** Stream that holds the claims of one shard. */
export const getClaimStream = (shard: number): string => `claims.${String(shard)}`;

/** Stream that holds the fates of a process. */
export const getFateStream = (process: string): string => {
  const hash = [...process].reduce(
    (sum, char) => (sum * HASH_FACTOR + (char.codePointAt(0) ?? 0)) % FATE_STREAMS,
    0,
  );
  return `fates.${String(hash)}`;
};
