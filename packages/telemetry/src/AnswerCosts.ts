/** Pieces after which the observer is asked, also in the middle of a turn of the event loop. */
const PIECES_PER_CALL = 1_024;
/** From this size on, the bytes of a piece cost as much as the piece itself. */
const BYTES_PER_PIECE = 8_192;
/** Answers of one interval that are told apart; others count in the totals only. */
const MAX_ANSWERS = 4_096;
/** Pools whose totals are told apart. */
const MAX_POOLS = 256;
const OTHER_POOLS = "other";

/** The send whose answer is counted. */
export interface CountedSend {
  readonly requestId: string;
  readonly peer: string;
  readonly pool: string;
}

/** What answers have cost. */
export interface AnswerCost {
  readonly pieces: number;
  readonly bytes: number;
}

/** The upstream whose answers cost most in an interval, and the request whose answer cost most there. */
export interface CostliestUpstream extends AnswerCost {
  readonly peer: string;
  readonly requestId: string;
  /** Its answers in the interval. */
  readonly answers: number;
  /** What the answers of all upstreams cost. */
  readonly allPieces: number;
  readonly allBytes: number;
}

/** Counts the pieces and bytes of one answer as they arrive. */
export interface AnswerTally {
  /** Adds a chunk. */
  add(bytes: number): void;
  /** Adds parts that chunks were found to consist of, such as events. */
  addParts(count: number): void;
}

const getCost = ({ pieces, bytes }: AnswerCost): number => pieces + bytes / BYTES_PER_PIECE;

/** Counts of one answer in the current interval. */
class Tally implements AnswerTally {
  readonly send: CountedSend;
  readonly #totals: { pieces: number; bytes: number };
  readonly #onFirst: (tally: Tally) => void;
  readonly #onPieces: () => void;
  #left = PIECES_PER_CALL;
  pieces = 0;
  bytes = 0;

  constructor(
    send: CountedSend,
    options: {
      totals: { pieces: number; bytes: number };
      onFirst: (tally: Tally) => void;
      onPieces: () => void;
    },
  ) {
    this.send = send;
    this.#totals = options.totals;
    this.#onFirst = options.onFirst;
    this.#onPieces = options.onPieces;
  }

  add(bytes: number): void {
    this.bytes += bytes;
    this.#totals.bytes += bytes;
    this.addParts(1);
  }

  addParts(count: number): void {
    if (this.pieces === 0 && count > 0) {
      this.#onFirst(this);
    }
    this.pieces += count;
    this.#totals.pieces += count;
    this.#left -= count;
    if (this.#left <= 0) {
      this.#left = PIECES_PER_CALL;
      this.#onPieces();
    }
  }

  reset(): void {
    this.pieces = 0;
    this.bytes = 0;
  }
}

/** Tells which upstreams' answers this process spends its time and memory on. */
export class AnswerCosts {
  readonly #totals = new Map<string, { pieces: number; bytes: number }>();
  #counted: Tally[] = [];
  /** Called every so many pieces, also in a turn of the event loop that doesn't end. */
  onPieces: () => void = () => undefined;

  /** Pieces and bytes since the start, by pool. */
  get totals(): ReadonlyMap<string, AnswerCost> {
    return this.#totals;
  }

  /** Follows the answer to one send. */
  open(send: CountedSend): AnswerTally {
    return new Tally(send, {
      totals: this.#getTotals(send.pool),
      onFirst: (tally) => {
        if (this.#counted.length < MAX_ANSWERS) {
          this.#counted.push(tally);
        }
      },
      onPieces: () => {
        this.onPieces();
      },
    });
  }

  /** Ends an interval; undefined when no answer had anything in it. */
  take(): CostliestUpstream | undefined {
    const counted = this.#counted;
    this.#counted = [];
    const peers = new Map<string, { pieces: number; bytes: number; answers: number }>();
    const costliest = new Map<string, { cost: number; requestId: string }>();
    for (const tally of counted) {
      const { peer, requestId } = tally.send;
      const sum = peers.get(peer) ?? { pieces: 0, bytes: 0, answers: 0 };
      sum.pieces += tally.pieces;
      sum.bytes += tally.bytes;
      sum.answers += 1;
      peers.set(peer, sum);
      const cost = getCost(tally);
      if (cost >= (costliest.get(peer)?.cost ?? 0)) {
        costliest.set(peer, { cost, requestId });
      }
      tally.reset();
    }
    const [first] = [...peers].sort(([, a], [, b]) => getCost(b) - getCost(a));
    if (!first) {
      return undefined;
    }
    const [peer, sum] = first;
    const all = [...peers.values()];
    return {
      ...{ peer, requestId: costliest.get(peer)?.requestId ?? "", ...sum },
      allPieces: all.reduce((total, { pieces }) => total + pieces, 0),
      allBytes: all.reduce((total, { bytes }) => total + bytes, 0),
    };
  }

  #getTotals(pool: string): { pieces: number; bytes: number } {
    const name = this.#totals.has(pool) || this.#totals.size < MAX_POOLS ? pool : OTHER_POOLS;
    const totals = this.#totals.get(name) ?? { pieces: 0, bytes: 0 };
    this.#totals.set(name, totals);
    return totals;
  }
}
