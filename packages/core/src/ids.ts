import { createHash } from "node:crypto";

/** Parts of a request id. */
export interface RequestIdParts {
  /** Name of the accepting process. */
  readonly process: string;
  /** Start time of that process, milliseconds since the epoch. */
  readonly incarnation: number;
  /** Time of acceptance, milliseconds since the epoch. */
  readonly atMs: number;
  /** Sequence number of the request in that process. */
  readonly seq: number;
}

const RADIX = 36;
const ID_PATTERN = /^req_([a-z0-9-]+)\.([0-9a-z]+)\.([0-9a-z]+)\.([0-9a-z]+)$/;

/** Formats a request id, e.g. `req_poblado-1.lx3k2a.2f.1`. */
export const newRequestId = (parts: RequestIdParts): string => {
  const incarnation = parts.incarnation.toString(RADIX);
  const age = Math.max(0, parts.atMs - parts.incarnation).toString(RADIX);
  return `req_${parts.process}.${incarnation}.${age}.${parts.seq.toString(RADIX)}`;
};

/** Parses a request id; undefined if the text isn't one. */
export const parseRequestId = (id: string): RequestIdParts | undefined => {
  const match = ID_PATTERN.exec(id);
  if (!match) {
    return undefined;
  }
  const [, process = "", incarnation = "", age = "", seq = ""] = match;
  const startedMs = parseInt(incarnation, RADIX);
  return {
    process,
    incarnation: startedMs,
    atMs: startedMs + parseInt(age, RADIX),
    seq: parseInt(seq, RADIX),
  };
};

/** Hex SHA-256 of a text or buffer. */
export const sha256 = (data: string | Buffer): string =>
  createHash("sha256").update(data).digest("hex");

/** 48 bits, which a number holds exactly. */
const HASH_HEX_DIGITS = 12;

/** Rendezvous score of `member` for `key`; the highest score owns the key. */
export const rendezvousScore = (key: string, member: string): number =>
  parseInt(sha256(`${member}\u0000${key}`).slice(0, HASH_HEX_DIGITS), 16);

/** Members by descending rendezvous score for `key`; the owner comes first. */
export const rankMembers = (key: string, members: readonly string[]): string[] =>
  members
    .map((member) => ({ member, score: rendezvousScore(key, member) }))
    .sort((a, b) => b.score - a.score || (a.member < b.member ? -1 : 1))
    .map((ranked) => ranked.member);
