import type { Cancel, Clock } from "@lycheepulley/core";

import type { LoadChange } from "./LoadTracker.js";
import { PeerState, type PeerIdentity } from "./PeerTable.js";

/** Time for which changes are collected. */
const COLLECT_MS = 40;
const MAX_CHANGES = 80;

/** A change with the process that it is about. */
export interface RelayedChange extends LoadChange {
  readonly host: string;
  readonly incarnation: number;
  readonly seq: number;
}

/** Collects changes for the other processes of a failure domain. */
export class LoadRelay {
  readonly #clock: Clock;
  readonly #send: (changes: readonly RelayedChange[]) => void;
  #changes: RelayedChange[] = [];
  #cancel: Cancel | undefined;

  constructor(options: { clock: Clock; send: (changes: readonly RelayedChange[]) => void }) {
    this.#clock = options.clock;
    this.#send = options.send;
  }

  add(change: RelayedChange): void {
    this.#changes.push(change);
    if (this.#changes.length >= MAX_CHANGES) {
      this.flush();
      return;
    }
    this.#cancel ??= this.#clock.setTimer(() => {
      this.flush();
    }, COLLECT_MS);
  }

  /** Sends what was collected. */
  flush(): void {
    this.#cancel?.();
    this.#cancel = undefined;
    const changes = this.#changes;
    this.#changes = [];
    if (changes.length > 0) {
      this.#send(changes);
    }
  }
}

const isStronger = (one: PeerIdentity, other: PeerIdentity): boolean =>
  one.capacity === other.capacity ? one.host < other.host : one.capacity > other.capacity;

/** The strongest process of each failure domain, which relays changes to the others there. */
export const pickRelays = (processes: readonly PeerIdentity[]): PeerIdentity[] => {
  const relays = new Map<string, PeerIdentity>();
  for (const process of processes) {
    const relay = relays.get(process.failureDomain);
    if (process.state === PeerState.Live && (!relay || isStronger(process, relay))) {
      relays.set(process.failureDomain, process);
    }
  }
  return [...relays.values()];
};
