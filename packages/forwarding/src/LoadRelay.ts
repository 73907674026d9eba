import type { Cancel, Clock } from "@lycheepulley/core";

import type { LoadChange } from "./LoadTracker.js";
import { PeerState, type PeerIdentity } from "./PeerTable.js";

/** Time for which changes are collected into one batch. */
const BATCH_MS = 40;
/** A batch has to fit into a datagram. */
const MAX_BATCH_CHANGES = 80;

/** A load change with the process that it is about. */
export interface RelayedChange extends LoadChange {
  readonly host: string;
  readonly incarnation: number;
  readonly seq: number;
}

/** Batches load changes for the other processes of a failure domain. */
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
    if (this.#changes.length >= MAX_BATCH_CHANGES) {
      this.flush();
      return;
    }
    this.#cancel ??= this.#clock.setTimer(() => {
      this.flush();
    }, BATCH_MS);
  }

  /** Sends the collected changes. */
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

const ranksHigher = (one: PeerIdentity, other: PeerIdentity): boolean =>
  one.capacity === other.capacity ? one.host < other.host : one.capacity > other.capacity;

/** The live process with the most capacity in each failure domain; it relays changes to the others there. */
export const pickRelays = (processes: readonly PeerIdentity[]): PeerIdentity[] => {
  const relays = new Map<string, PeerIdentity>();
  for (const process of processes) {
    const relay = relays.get(process.failureDomain);
    if (process.state === PeerState.Live && (!relay || ranksHigher(process, relay))) {
      relays.set(process.failureDomain, process);
    }
  }
  return [...relays.values()];
};
