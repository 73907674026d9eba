import { createServer } from "node:net";

export const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Returns ports of loopback addresses that were free a moment ago. */
export const findFreePorts = async (count: number): Promise<number[]> => {
  const servers = Array.from({ length: count }, () => createServer());
  const ports = await Promise.all(
    servers.map(
      (server) =>
        new Promise<number>((resolve) => {
          server.listen(0, "127.0.0.1", () => {
            const address = server.address();
            resolve(typeof address === "object" && address ? address.port : 0);
          });
        }),
    ),
  );
  await Promise.all(servers.map((server) => new Promise((done) => server.close(done))));
  return ports;
};
