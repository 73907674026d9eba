/** Protections that the fault matrix disables one at a time to prove that its checks can fail. */
export interface Protections {
  /** A claimed request is dispatched only after its claim was read back as accepted. */
  readonly readBack: boolean;
  /** The deadline is checked right before bytes are sent. */
  readonly deadlineCheck: boolean;
  /** Leases are checked, and orders carry fencing tokens. */
  readonly fencing: boolean;
  /** Chunks of attempts other than the current one are dropped. */
  readonly attemptId: boolean;
  /** Grants and KV memory without an owner are freed. */
  readonly reaper: boolean;
  /** Fingerprints that crashed upstreams are isolated and blocked. */
  readonly block: boolean;
  /** Repeated records are detected by their sequence number and dropped. */
  readonly sequenceDedup: boolean;
  /** A record is accepted only if it follows the current version of its register. */
  readonly revisionCheck: boolean;
  /** An answer is complete only with its end marker. */
  readonly endMarker: boolean;
  /** Upstreams that are leaving get no new requests. */
  readonly leavingCheck: boolean;
}

/** All protections enabled, as in production. */
export const ALL_PROTECTIONS: Protections = {
  readBack: true,
  deadlineCheck: true,
  fencing: true,
  attemptId: true,
  reaper: true,
  block: true,
  sequenceDedup: true,
  revisionCheck: true,
  endMarker: true,
  leavingCheck: true,
};
