/** Protections that the fault matrix switches off one at a time to show that its checks can fail. */
export interface Protections {
  /** Claims are dispatched only after they were read back as accepted. */
  readonly readBack: boolean;
  /** The deadline is checked right before bytes are sent. */
  readonly deadlineCheck: boolean;
  /** Leases are checked and orders carry fencing numbers. */
  readonly fencing: boolean;
  /** Chunks of another attempt are dropped. */
  readonly attemptId: boolean;
  /** Grants and KV memory that nobody owns are freed. */
  readonly reaper: boolean;
  /** Fingerprints that crashed upstreams are isolated and blocked. */
  readonly block: boolean;
  /** Repeated records are recognized by their sequence number. */
  readonly sequenceDedup: boolean;
  /** Records must follow the current version of their register. */
  readonly revisionCheck: boolean;
  /** An answer counts only with its end marker. */
  readonly endMarker: boolean;
  /** Leaving upstreams get no new work. */
  readonly leavingCheck: boolean;
}

/** Everything switched on, as in production. */
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
