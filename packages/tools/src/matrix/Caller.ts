import { PulleyError, type Verdict } from "@lycheepulley/core";

import { getExpectedAnswer } from "./FakeEngine.js";
import type { MatrixProcess } from "./MatrixProcess.js";
import { SAVE_PATIENCE_MS, type World } from "./World.js";

/** Kinds of request that the matrix sends. */
export const RequestKind = { Prompt: "prompt", OncePrompt: "once-prompt", Save: "save" } as const;
export type RequestKind = (typeof RequestKind)[keyof typeof RequestKind];

/** A request with what its caller has received. */
export interface CallerRecord {
  readonly requestId: string;
  readonly process: MatrixProcess;
  readonly kind: RequestKind;
  readonly prompt: string;
  readonly key: string | undefined;
  readonly startedMs: number;
  readonly patienceMs: number;
  text: string;
  readonly expectedText: string | undefined;
  endedMs: number | undefined;
  /** Result that the caller received; undefined if it received none. */
  told: "finished" | Verdict | undefined;
}

const PATIENCE_MS: Readonly<Record<RequestKind, number>> = {
  [RequestKind.Prompt]: 15_000,
  [RequestKind.OncePrompt]: 15_000,
  [RequestKind.Save]: SAVE_PATIENCE_MS,
};

/** Sends the requests of a cell and records what their callers receive. */
export class Caller {
  readonly records: CallerRecord[] = [];
  readonly #world: World;

  constructor(world: World) {
    this.#world = world;
  }

  /**
   * Sends a request. `onReply` runs after the process has the result and before the caller receives
   * it.
   */
  send(options: {
    process: MatrixProcess;
    kind: RequestKind;
    text: string;
    key?: string;
    onChunk?: (count: number) => void;
    onReply?: () => void;
  }): CallerRecord {
    const { process, kind, text, onChunk, onReply } = options;
    const key = kind === RequestKind.Prompt ? undefined : (options.key ?? text);
    const { signal } = new AbortController();
    const trace = process.node.fates.begin("c");
    const prompt = process.newPrompt({ text, key, signal });
    const record: CallerRecord = {
      requestId: trace.requestId,
      process,
      kind,
      prompt: text,
      key,
      startedMs: this.#world.clock.now(),
      patienceMs: PATIENCE_MS[kind],
      text: "",
      expectedText: kind === RequestKind.Save ? undefined : getExpectedAnswer(prompt.body),
      endedMs: undefined,
      told: undefined,
    };
    this.records.push(record);
    let chunkCount = 0;
    const result =
      kind === RequestKind.Save
        ? process.node.services.run(trace, process.newSave({ text, key: key ?? "", signal }))
        : process.node.prompts.run(trace, prompt, {
            onChunk: (chunk) => {
              record.text += chunk.text;
              chunkCount += 1;
              onChunk?.(chunkCount);
            },
          });
    result.then(
      (outcome) => {
        onReply?.();
        if ("replayed" in outcome && outcome.replayed !== undefined) {
          record.text = outcome.replayed;
        }
        this.#end(record, "finished");
      },
      (err: unknown) => {
        onReply?.();
        this.#end(record, err instanceof PulleyError ? err.verdict : "failed_may_have_run");
      },
    );
    return record;
  }

  #end(record: CallerRecord, told: NonNullable<CallerRecord["told"]>): void {
    // The caller receives nothing from a dead process, and from a paused one only after its pause.
    record.process.clock.run(() => {
      record.endedMs = this.#world.clock.now();
      record.told = told;
    });
  }
}
