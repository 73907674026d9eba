import { expect } from "chai";

import { SendResult } from "../outcomes.js";
import { getLessons, type EndedSend, type Lessons } from "./CostLesson.js";

const STREAM: EndedSend = {
  ...{ result: SendResult.Delivered, status: 200, isResumed: false, isStream: true },
  ...{ gaps: 30, hadSlot: true, hasHelpers: false },
};
const CALL: EndedSend = { ...STREAM, isStream: false, gaps: 0 };

/** Guards against requests that teach wrong lessons because they ended in another way than most. */
describe("what a send teaches", () => {
  const cases: readonly [name: string, send: Partial<EndedSend>, lessons: (keyof Lessons)[]][] = [
    ["a whole stream", STREAM, ["length", "pace"]],
    ["a whole call", CALL, ["call"]],
    ["a stream with few events", { ...STREAM, gaps: 2 }, ["length"]],
    ["a stream on a prompt in parts", { ...STREAM, hasHelpers: true }, ["length"]],
    ["a resumed stream", { ...STREAM, isResumed: true }, ["pace"]],
    ["a stream whose caller left", { ...STREAM, result: SendResult.Cancelled }, ["pace"]],
    ["a stream that ran out of time", { ...STREAM, result: SendResult.TimedOut }, ["pace"]],
    [
      "a caller who left before the first events",
      { ...STREAM, result: SendResult.Cancelled, gaps: 0 },
      [],
    ],
    ["a call whose caller left", { ...CALL, result: SendResult.Cancelled }, []],
    [
      "a call that ran out of time",
      { ...CALL, result: SendResult.TimedOut, status: undefined },
      [],
    ],
    ["a call that waited for a slot", { ...CALL, hadSlot: false }, []],
    ["a stream that was cut off or garbled", { ...STREAM, result: SendResult.Broken }, []],
    ["a call whose answer was garbled", { ...CALL, result: SendResult.Broken }, []],
    ["a send that another one overtook", { ...STREAM, result: SendResult.Superseded }, []],
    ["a call that another one overtook", { ...CALL, result: SendResult.Superseded }, []],
    ["an upstream that refused", { ...CALL, result: SendResult.NotRun, status: 503 }, []],
    ["an error of the upstream", { ...CALL, result: SendResult.Failed, status: 500 }, []],
    ["an answer that says no", { ...CALL, status: 404 }, []],
    [
      "an upstream that wasn't reached",
      { ...CALL, result: SendResult.Unsent, status: undefined },
      [],
    ],
    ["memory that wasn't to be had", { ...STREAM, result: SendResult.NoMemory, gaps: 0 }, []],
    ["an error of this process", { ...STREAM, result: SendResult.Internal }, []],
  ];
  for (const [name, send, expected] of cases) {
    it(`${name}: ${expected.join(", ") || "nothing"}`, () => {
      const lessons = getLessons({ ...STREAM, ...send });
      const taught = (Object.keys(lessons) as (keyof Lessons)[]).filter((key) => lessons[key]);
      expect(taught).to.deep.equal(expected);
    });
  }
});
