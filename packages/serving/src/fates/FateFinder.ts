import {
  compactFateKey,
  compactFateSchema,
  expandFate,
  FateState,
  getMessage,
  parseRequestId,
  RecordKind,
  type Fate,
  type LogEntry,
  type RequestIdParts,
} from "@lycheepulley/core";
import type { LogClient } from "@lycheepulley/log";
import { fateMethod, NodeState } from "@lycheepulley/nodes";
import { z } from "zod";

import type { Membership } from "../membership/Membership.js";
import { getFateStream } from "../streams.js";
import type { FateRecorder } from "./FateRecorder.js";

const READ_LIMIT_ENTRIES = 256;
/** Largest expected difference between the clocks of the log and of a process. */
const MAX_CLOCK_SKEW_MS = 5_000;

const fatesBodySchema = z.object({
  process: z.string(),
  incarnation: z.number(),
  lines: z.array(compactFateSchema),
});

/**
 * Looks up the fate of a request: in this process, at the process that accepted it, or on the log.
 */
export class FateFinder {
  readonly #recorder: FateRecorder;
  readonly #membership: Membership;
  readonly #log: LogClient;

  constructor(options: { recorder: FateRecorder; membership: Membership; log: LogClient }) {
    this.#recorder = options.recorder;
    this.#membership = options.membership;
    this.#log = options.log;
  }

  /** Returns the fate of a request; undefined when the id isn't a valid request id. */
  async find(requestId: string): Promise<Fate | undefined> {
    const parts = parseRequestId(requestId);
    if (!parts) {
      return undefined;
    }
    const known = this.#recorder.getFate(requestId) ?? (await this.#askAcceptor(requestId, parts));
    return known ?? this.#findOnLog(requestId, parts);
  }

  /** Asks the process that accepted the request, if that incarnation of it is still a member. */
  async #askAcceptor(requestId: string, parts: RequestIdParts): Promise<Fate | undefined> {
    const view = this.#findMember(parts);
    if (!view || view.state === NodeState.Gone || parts.process === this.#membership.self) {
      return undefined;
    }
    try {
      const client = this.#membership.getClient(parts.process);
      return (await client?.call(fateMethod, { requestId })) ?? undefined;
    } catch {
      return undefined;
    }
  }

  #findMember(parts: RequestIdParts): ReturnType<Membership["getMembers"]>[number] | undefined {
    return this.#membership
      .getMembers()
      .find(
        ({ report }) => report.name === parts.process && report.incarnation === parts.incarnation,
      );
  }

  async #findOnLog(requestId: string, parts: RequestIdParts): Promise<Fate> {
    try {
      const found = await this.#scanLog(requestId, parts);
      return found ?? newUnknown(requestId, parts, this.#getUnknownReason(parts));
    } catch (err) {
      const reason = `the log can't be read now (${getMessage(err)}); ask again later`;
      return newUnknown(requestId, parts, reason);
    }
  }

  async #scanLog(requestId: string, parts: RequestIdParts): Promise<Fate | undefined> {
    const stream = getFateStream(parts.process);
    const { end } = await this.#log.fetchExtent(stream);
    let from = await this.#findOffset(stream, parts.atMs - MAX_CLOCK_SKEW_MS);
    while (from < end) {
      const page = await this.#log.read(stream, from, { limit: READ_LIMIT_ENTRIES, waitMs: 0 });
      const fate = findInEntries(page.entries, requestId, parts);
      if (fate) {
        return fate;
      }
      if (page.entries.length === 0) {
        return undefined;
      }
      from += page.entries.length;
    }
    return undefined;
  }

  /** First offset whose entry isn't older than `timeMs`, by binary search. */
  async #findOffset(stream: string, timeMs: number): Promise<number> {
    const { first, end } = await this.#log.fetchExtent(stream);
    let low = first;
    let high = end;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      const page = await this.#log.read(stream, middle, { limit: 1, waitMs: 0 });
      const entry = page.entries[0];
      if (entry && entry.timeMs < timeMs) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  #getUnknownReason({ process, atMs }: RequestIdParts): string {
    const accepted = new Date(atMs).toISOString();
    const view = this.#membership.getMembers().find(({ report }) => report.name === process);
    const until = view ? new Date(Date.now() - Math.max(0, view.ageMs)).toISOString() : "now";
    return (
      `${process} accepted it at ${accepted} and recorded no end before it was lost ` +
      `(last heard of by ${until}); it may have run`
    );
  }
}

const findInEntries = (
  entries: readonly LogEntry[],
  requestId: string,
  parts: RequestIdParts,
): Fate | undefined => {
  const key = compactFateKey(requestId);
  const records = entries.flatMap((entry) => entry.records);
  for (const record of records.filter(({ kind }) => kind === RecordKind.Fates)) {
    const body = fatesBodySchema.safeParse(record.body).data;
    if (body?.process !== parts.process || body.incarnation !== parts.incarnation) {
      continue;
    }
    const line = body.lines.find(([id]) => id === key);
    if (line) {
      return expandFate(requestId, parts.atMs, line);
    }
  }
  return undefined;
};

const newUnknown = (requestId: string, parts: RequestIdParts, reason: string): Fate => ({
  requestId,
  state: FateState.Unknown,
  className: "",
  customer: "",
  acceptedMs: parts.atMs,
  steps: [],
  reason,
});
