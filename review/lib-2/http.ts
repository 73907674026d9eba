import type { IncomingMessage, ServerResponse } from "node:http";

export const readBody = async (req: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  for await (const chunk of req as AsyncIterable<Buffer>) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
};

export const sendJson = (
  res: ServerResponse,
  status: number,
  value: object,
  headers: Readonly<Record<string, string>> = {},
): void => {
  const body = JSON.stringify(value);
  const own = { "content-type": "application/json", "content-length": String(body.length) };
  res.writeHead(status, { ...own, ...headers }).end(body);
};
