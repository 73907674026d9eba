import { ByteCollector } from "@lycheepulley/core";

/** Bytes read of the body of an answer that says only that something failed. */
export const MAX_ERROR_BYTES = 65_536;

/** The beginning of a body, or all of it. */
export interface ReadBytes {
  readonly bytes: Buffer;
  /** False when the body has more than was read. */
  readonly isWhole: boolean;
}

/** Reads at most `maxBytes` of a body, and leaves a longer one. */
export const readBytes = async (
  body: AsyncIterable<Buffer>,
  maxBytes: number,
): Promise<ReadBytes> => {
  const collector = new ByteCollector();
  for await (const chunk of body) {
    const room = maxBytes - collector.size;
    collector.add(chunk.subarray(0, room));
    if (chunk.length > room) {
      return { bytes: collector.take(), isWhole: false };
    }
  }
  return { bytes: collector.take(), isWhole: true };
};
