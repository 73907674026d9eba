/**
 * Bytes of an answer that aren't its body: heads, interim answers, framing. Parsers limit heads, but take empty lines,
 * reasons, interim answers, extensions and digits of a chunk's length without end.
 */
const MAX_OVERHEAD_BYTES = 65_536;
/** Framing allowed for each byte of body, which tiny chunks need. */
const OVERHEAD_PER_BODY_BYTE = 16;

/** An answer has more framing than its body can need. */
export class OverheadError extends Error {
  readonly code = "ERR_OVERHEAD";

  constructor(bytes: number) {
    super(`${String(bytes)} bytes that are no body`);
    this.name = "OverheadError";
  }
}

/** Finds whether an answer of so many bytes, all in all and of body, consists of little but framing. */
export const findOverhead = (bytes: number, bodyBytes: number): OverheadError | undefined => {
  const overheadBytes = bytes - bodyBytes;
  return overheadBytes > MAX_OVERHEAD_BYTES + OVERHEAD_PER_BODY_BYTE * bodyBytes
    ? new OverheadError(overheadBytes)
    : undefined;
};
