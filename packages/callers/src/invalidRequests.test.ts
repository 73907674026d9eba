import {
  OverloadControl,
  ProcessLifecycle,
  SystemClock,
  SystemRandom,
  type Fate,
} from "@lycheepulley/core";
import { newRequestCases, testRequests } from "@lycheepulley/core/testing";
import { newSilentLogger } from "@lycheepulley/telemetry";

import { CallerServer } from "./CallerServer.js";
import type { ServingApi } from "./types.js";

describe("CallerServer and invalid requests", () => {
  let served = 0;
  const api: ServingApi = {
    authenticate: () => "c",
    getRedirectAddress: () => undefined,
    accept: () => ({
      requestId: "req_p.1.1.1",
      runPrompt: () => Promise.reject(new Error("not expected")),
      runService: () => {
        served += 1;
        return Promise.resolve({
          status: 200,
          contentType: "text/plain",
          body: "",
          isReplay: false,
        });
      },
      reject: () => undefined,
    }),
    maxBodyBytes: 100,
    isFull: false,
    listModels: () => [],
    getAddresses: () => ({ addresses: [], keepMs: 0 }),
    fetchFate: () => Promise.resolve<Fate | undefined>(undefined),
    getMetrics: () => Promise.resolve(""),
  };
  const clock = new SystemClock();
  const server = new CallerServer(api, {
    ...{ clock, lifecycle: new ProcessLifecycle(), logger: newSilentLogger() },
    load: new OverloadControl({ clock, random: new SystemRandom() }),
  });
  before(() => server.listen("127.0.0.1", 0));
  after(() => server.close());
  const cases = newRequestCases("/services/letters/send", "Idempotency-Key: k\r\n");
  testRequests(cases, {
    get port() {
      return server.port;
    },
    get served() {
      return served;
    },
  });
});
