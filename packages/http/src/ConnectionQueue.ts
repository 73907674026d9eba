import type { Server } from "node:http";
import type { Socket } from "node:net";

import type { AcceptRun, Clock, OverloadControl, Wait } from "@lycheepulley/core";

import { LingeringConnections } from "./LingeringConnections.js";
import { ReadingPause } from "./ReadingPause.js";

/** Runs of accepted connections up to this long are served as they come. */
const DIRECT_MS = 5;
/** Turns in a row that may accept a connection before one that waits is served all the same. */
const ACCEPTS_PER_SERVE = 16;
/** Connections that may lie here; more are rejected. */
const MAX_QUEUED = 1_024;

/** Runs from this length on and turns from this length on hold up connections. */
const SLOW_RUN_MS = 20;
const SLOW_TURN_MS = 1;

/** A connection that was accepted and isn't served yet. */
interface QueuedConnection extends Wait {
  readonly socket: Socket;
}

/**
 * Accepts connections as fast as they come and serves them as fast as the process can: the runtime
 * accepts one in a turn of its event loop, which leaves the others where nobody knows how long they wait.
 */
export class ConnectionQueue {
  readonly #clock: Clock;
  readonly #load: OverloadControl;
  readonly #run: AcceptRun;
  readonly #onAccept: (socket: Socket) => void;
  readonly #serve: (socket: Socket, wait: Wait) => void;
  readonly #newAnswer: (retryAfterMs: number) => string;
  readonly #queue: QueuedConnection[] = [];
  readonly #lingering: LingeringConnections;
  readonly #pause: ReadingPause;
  #hasAccepted = false;
  #acceptTurns = 0;
  #isFollowing = false;
  #servedMs = 0;
  #turnEndMs = 0;

  /**
   * `onAccept` sees each connection, `onServe` those that are served, before the server does; `newAnswer`
   * returns the answer that rejects one.
   */
  constructor(
    server: Server,
    options: {
      clock: Clock;
      load: OverloadControl;
      onAccept?: (socket: Socket) => void;
      onServe?: (socket: Socket, wait: Wait) => void;
      newAnswer: (retryAfterMs: number) => string;
      /** Connections that are served. */
      getOpen: () => Iterable<Socket>;
    },
  ) {
    this.#clock = options.clock;
    this.#load = options.load;
    this.#run = options.load.newAcceptRun();
    this.#newAnswer = options.newAnswer;
    this.#onAccept = options.onAccept ?? (() => undefined);
    this.#pause = new ReadingPause(options.clock, options.getOpen);
    this.#lingering = new LingeringConnections(options.clock);
    const listeners = server.listeners("connection") as ((socket: Socket) => void)[];
    server.removeAllListeners("connection");
    // Not in the types: otherwise the runtime reads connections before the server has them.
    Object.assign(server, { pauseOnConnect: true });
    this.#serve = (socket, wait) => {
      options.onServe?.(socket, wait);
      listeners.forEach((listener) => {
        listener.call(server, socket);
      });
      socket.resume();
      this.#servedMs = this.#clock.now();
    };
    server.on("connection", (socket: Socket) => {
      this.#accept(socket);
    });
  }

  /** Closes the connections that aren't served. */
  close(): void {
    this.#pause.end();
    this.#queue.splice(0).forEach(({ socket }) => socket.destroy());
    this.#lingering.close();
  }

  #accept(socket: Socket): void {
    this.#hasAccepted = true;
    this.#onAccept(socket);
    const sinceMs = this.#clock.now();
    const possiblySinceMs = this.#run.accept();
    const wait = { sinceMs, possiblySinceMs };
    if (this.#queue.length === 0 && sinceMs - possiblySinceMs < DIRECT_MS) {
      this.#serve(socket, wait);
      return;
    }
    socket.on("error", () => undefined);
    this.#queue.push({ socket, ...wait });
    if (this.#queue.length > MAX_QUEUED) {
      this.#rejectFirst();
    }
    this.#follow();
  }

  /** Goes on, turn by turn, while connections wait here. */
  #follow(): void {
    if (this.#isFollowing) {
      return;
    }
    this.#isFollowing = true;
    this.#load.turns.afterTurn(() => {
      this.#isFollowing = false;
      this.#acceptTurns = this.#hasAccepted ? this.#acceptTurns + 1 : 0;
      this.#pauseReading();
      const isTurn = !this.#hasAccepted || this.#acceptTurns % ACCEPTS_PER_SERVE === 0;
      this.#hasAccepted = false;
      while (this.#queue[0] && this.#load.isLate(this.#queue[0])) {
        this.#rejectFirst();
      }
      if (isTurn && !this.#pause.isOn) {
        this.#serveNext();
      }
      if (this.#queue.length > 0 || this.#pause.isOn) {
        this.#follow();
      }
    });
  }

  /** Reads nothing while connections wait to be accepted that the length of turns holds up. */
  #pauseReading(): void {
    const now = this.#clock.now();
    const isSlow = this.#run.ms >= SLOW_RUN_MS && now - this.#turnEndMs >= SLOW_TURN_MS;
    this.#turnEndMs = now;
    if (this.#pause.isOn) {
      if (!this.#hasAccepted || this.#pause.isOver) {
        this.#pause.end();
      }
    } else if (this.#hasAccepted && isSlow) {
      this.#pause.start();
    }
  }

  /** Serves a connection for each short turn that would have passed since the last one. */
  #serveNext(): void {
    const count = Math.max(1, Math.floor((this.#clock.now() - this.#servedMs) / SLOW_TURN_MS));
    this.#queue.splice(0, count).forEach((next) => {
      this.#serve(next.socket, next);
    });
  }

  #rejectFirst(): void {
    const first = this.#queue.shift();
    if (!first) {
      return;
    }
    const retryAfterMs = this.#load.decide({ ...first, sinceMs: -Infinity });
    first.socket.end(this.#newAnswer(retryAfterMs ?? 0), "latin1");
    this.#lingering.add(first.socket);
  }
}
