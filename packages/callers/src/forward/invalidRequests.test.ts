import { newRequestCases, testRequests } from "@lycheepulley/core/testing";

import { useListener } from "./testing/ListenerHarness.js";

describe("ForwardServer and invalid requests", () => {
  const fixture = useListener();
  let served = 0;
  beforeEach(() => {
    fixture.harness.forward = (_req, writer) => {
      served += 1;
      writer.sendOwn(200, "answered");
      return Promise.resolve();
    };
  });
  testRequests(newRequestCases("/a/1"), {
    get port() {
      return fixture.harness.port;
    },
    get served() {
      return served;
    },
  });
});
