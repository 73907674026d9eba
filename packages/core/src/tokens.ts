/** Estimates the number of tokens in a text from its length in bytes; at least 1. */
export const estimateTokens = (bytes: number, bytesPerToken: number): number =>
  Math.max(1, Math.ceil(bytes / bytesPerToken));

/** Bands of prompt length, in tokens, by which latencies are reported. */
export const LENGTH_BANDS = [
  { name: "under-1k", below: 1_000 },
  { name: "1k-4k", below: 4_000 },
  { name: "4k-16k", below: 16_000 },
  { name: "16k-100k", below: 100_000 },
  { name: "100k-1M", below: Infinity },
] as const;
export type LengthBand = (typeof LENGTH_BANDS)[number]["name"];

/** Returns the length band of a prompt. */
export const getLengthBand = (tokens: number): LengthBand =>
  LENGTH_BANDS.find((band) => tokens < band.below)?.name ?? "100k-1M";
