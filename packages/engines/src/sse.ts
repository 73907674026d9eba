import { createParser } from "eventsource-parser";

/** One server-sent event. */
export interface SseEvent {
  readonly id: string | undefined;
  readonly data: string;
}

/** Reads server-sent events from a byte stream. */
export async function* readSse(body: AsyncIterable<Uint8Array>): AsyncGenerator<SseEvent> {
  const due: SseEvent[] = [];
  const parser = createParser({
    onEvent: ({ id, data }) => {
      due.push({ id, data });
    },
  });
  const decoder = new TextDecoder();
  for await (const bytes of body) {
    parser.feed(decoder.decode(bytes, { stream: true }));
    yield* due.splice(0);
  }
}
