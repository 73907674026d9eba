/** Ways in which a faulty server cuts a body into more pieces than a sound one, as bytes of a chunk each. */
export const PIECE_FLOODS = [
  { name: "chunks of one byte", piece: "x", isEvents: false },
  {
    name: "chunks of one byte with an extension each",
    piece: "x",
    extension: ";a=b",
    isEvents: false,
  },
  { name: "lines of one event, a chunk each", piece: "data: aaaa\n", isEvents: true },
  { name: "comments, a chunk each", piece: ": c\n\n", isEvents: true },
  { name: "empty lines, a chunk each", piece: "\n", isEvents: true },
] as const;

/** Pieces of a flood: more than a sound server sends, and few enough that they all could be read. */
export const FLOOD_PIECES = 20_000;

/** Frames pieces of a body as chunks. */
export const toChunks = (pieces: readonly string[], extension = ""): string =>
  pieces.map((piece) => `${piece.length.toString(16)}${extension}\r\n${piece}\r\n`).join("");

/** A whole answer in very many pieces. */
export const newFlood = (
  { piece, extension = "" }: { readonly piece: string; readonly extension?: string },
  {
    status = 200,
    count = FLOOD_PIECES,
  }: { readonly status?: number; readonly count?: number } = {},
): string => {
  const chunk = toChunks([piece], extension);
  return (
    `HTTP/1.1 ${String(status)} Flood\r\nTransfer-Encoding: chunked\r\n\r\n` +
    `${chunk.repeat(count)}0\r\n\r\n`
  );
};

/** Ways in which a faulty caller cuts its body. */
export const REQUEST_FLOODS = PIECE_FLOODS.filter(({ isEvents }) => !isEvents);

/** A whole request in very many chunks. */
export const newFloodRequest = (
  path: string,
  { piece, extension = "" }: { readonly piece: string; readonly extension?: string },
  count = FLOOD_PIECES,
): string =>
  [
    `POST ${path} HTTP/1.1`,
    "Host: a.example",
    "Idempotency-Key: k",
    "Transfer-Encoding: chunked",
    "",
    `${toChunks([piece], extension).repeat(count)}0\r\n\r\n`,
  ].join("\r\n");
