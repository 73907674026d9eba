import type { IncomingMessage, Server as HttpServer } from "node:http";
import { createServer, type AddressInfo, type Server } from "node:net";

export const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, ms));

/** Listens on a free port with `port` 0, and returns the port. */
export const listen = (server: Server, host: string, port: number): Promise<number> =>
  new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      resolve((server.address() as AddressInfo).port);
    });
  });

export const closeServer = (server: HttpServer): void => {
  server.close();
  server.closeAllConnections();
};

export const readAll = async (req: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  for await (const chunk of req as AsyncIterable<Buffer>) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
};

/** Ports that are free on all of these addresses, each for TCP. */
export const findFreePorts = async (
  hosts: readonly string[],
  count: number,
): Promise<readonly number[]> => {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = 20_000 + Math.floor(Math.random() * 10_000);
    const isFree = await Promise.all(hosts.map((host) => isFreeAt(host, port)));
    if (isFree.every(Boolean) && !ports.includes(port)) {
      ports.push(port);
    }
  }
  return ports;
};

const isFreeAt = async (host: string, port: number): Promise<boolean> => {
  const server = createServer();
  try {
    await listen(server, host, port);
    return true;
  } catch {
    return false;
  } finally {
    server.close();
  }
};
