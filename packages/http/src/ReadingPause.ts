import type { Socket } from "node:net";

import type { Clock } from "@lycheepulley/core";

import { isKeptReading } from "./keepReading.js";

/** Longest time for which nothing is read. */
const MAX_PAUSE_MS = 100;

/** Stops reading open connections for some turns, so that those that wait are accepted meanwhile. */
export class ReadingPause {
  readonly #clock: Clock;
  readonly #getOpen: () => Iterable<Socket>;
  #paused: Socket[] = [];
  #startMs = -Infinity;

  constructor(clock: Clock, getOpen: () => Iterable<Socket>) {
    this.#clock = clock;
    this.#getOpen = getOpen;
  }

  get isOn(): boolean {
    return this.#paused.length > 0;
  }

  /** True when the pause has lasted for as long as it may. */
  get isOver(): boolean {
    return this.#clock.now() - this.#startMs >= MAX_PAUSE_MS;
  }

  start(): void {
    this.#paused = [...this.#getOpen()].filter(
      (socket) => !socket.isPaused() && !isKeptReading(socket),
    );
    this.#paused.forEach((socket) => socket.pause());
    this.#startMs = this.#clock.now();
  }

  end(): void {
    this.#paused.splice(0).forEach((socket) => socket.resume());
  }
}
