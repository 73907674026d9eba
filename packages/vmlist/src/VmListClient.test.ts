import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";

import { isNewerVmList, type VmList } from "@lycheepulley/core";
import { expect } from "chai";

import { HttpVmListClient } from "./VmListClient.js";

const newList = (version: number): object => ({ version, isDelta: false, vms: [], removed: [] });

describe("HttpVmListClient", () => {
  let server: Server;
  let versions: number[];
  let client: HttpVmListClient;

  beforeEach(async () => {
    server = createServer((_req, res) => {
      res.end(
        JSON.stringify(newList(versions.length > 1 ? (versions.shift() ?? 0) : (versions[0] ?? 0))),
      );
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    client = new HttpVmListClient({ origin: `http://127.0.0.1:${String(port)}` });
  });
  afterEach(async () => {
    await client.close();
    server.close();
    server.closeAllConnections();
  });

  const cases: readonly [name: string, answered: number[], seen: number[]][] = [
    ["follows rising versions", [4, 5, 9], [4, 5, 9]],
    ["ignores an answer of a copy that lags", [9, 4, 4, 9], [9]],
    // Guards against a list that never changes again, as all that follows counts as older.
    ["follows a service that began again", [9, 1, 1, 1, 1, 2], [9, 1, 2]],
  ];
  for (const [name, answered, seen] of cases) {
    it(name, async () => {
      versions = [...answered];
      const lists: VmList[] = [];
      const polls = answered.values();
      while (polls.next().done !== true) {
        const list = await client.fetchVms();
        const last = lists.at(-1);
        if (!last || isNewerVmList(list, last)) {
          lists.push(list);
        }
      }
      expect(lists.map(({ version }) => version)).to.deep.equal(seen);
    });
  }
});
