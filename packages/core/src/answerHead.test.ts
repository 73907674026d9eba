import { expect } from "chai";

import { findHeadFault, findRequestFault } from "./answerHead.js";

const LENGTH = ["Content-Length", "5"];

// The parsers refuse some of these themselves, unless they are told to be lenient.
describe("findHeadFault", () => {
  for (const status of [0, 20, 99, 100, 101, 199, 600, 999, 2000, -1, 200.5, NaN]) {
    it(`refuses status ${String(status)}`, () => {
      expect(findHeadFault({ status, version: "1.1", fields: LENGTH })).to.include("status");
    });
  }
  for (const status of [200, 204, 299, 304, 404, 503, 599]) {
    it(`takes status ${String(status)}`, () => {
      expect(findHeadFault({ status, version: "1.1", fields: LENGTH })).to.equal(undefined);
    });
  }
  for (const version of ["0.9", "1.2", "2.0", "11.1", ""]) {
    it(`refuses version "${version}"`, () => {
      expect(findHeadFault({ status: 200, version, fields: LENGTH })).to.include("version");
    });
  }
  for (const byte of [
    ...'\u0000\u0001\u0009\u000a\u000d\u001f\u007f\u0080\u00ff (),/:;<=>?@[\\]{}"',
  ]) {
    it(`refuses byte ${byte.charCodeAt(0).toString(16)} in a name`, () => {
      const fields = [...LENGTH, `X${byte}Y`, "v"];
      expect(findHeadFault({ status: 200, fields })).to.include("field name");
    });
  }
  for (const byte of [..."\u0000\u0001\u0008\u000a\u000d\u001f\u007f"]) {
    it(`refuses byte ${byte.charCodeAt(0).toString(16)} in a value and in the reason`, () => {
      const fields = ["X", `a${byte}b`, ...LENGTH];
      expect(findHeadFault({ status: 200, fields })).to.include("control byte");
      const reason = `O${byte}K`;
      expect(findHeadFault({ status: 200, reason, fields: LENGTH })).to.include("reason");
    });
  }
  it("refuses an empty name", () => {
    expect(findHeadFault({ status: 200, fields: ["", "v"] })).to.include("field name");
  });
  const framings: readonly (readonly [
    fields: readonly string[],
    isValid: boolean,
    version?: string,
  ])[] = [
    [[], true],
    [["content-length", "0"], true],
    [["CONTENT-LENGTH", "5"], true],
    [["Transfer-Encoding", "chunked"], true],
    [["Transfer-Encoding", "CHUNKED"], true],
    [["Transfer-Encoding", "chunked"], false, "1.0"],
    ...["", "+5", "-5", "5 ", "0x5", "5.0", "5, 5", "five", "1".repeat(16)].map(
      (length) => [["Content-Length", length], false] as const,
    ),
    ...["", "gzip", "gzip, chunked", "chunked, chunked", "xchunked", "identity"].map(
      (encoding) => [["Transfer-Encoding", encoding], false] as const,
    ),
    [[...LENGTH, ...LENGTH], false],
    [[...LENGTH, "content-length", "4"], false],
    [[...LENGTH, "Transfer-Encoding", "chunked"], false],
    [["Transfer-Encoding", "chunked", "transfer-encoding", "chunked"], false],
  ];
  for (const [fields, isValid, version = "1.1"] of framings) {
    it(`${isValid ? "takes" : "refuses"} ${JSON.stringify(fields)} in ${version}`, () => {
      expect(findHeadFault({ status: 200, version, fields }) === undefined).to.equal(isValid);
      expect(findRequestFault({ version, fields }) === undefined).to.equal(isValid);
    });
  }
  it("takes tabs and bytes above 7f in values", () => {
    const fields = ["X", "a\tb \u0080\u00e4\u00ff", ...LENGTH];
    expect(findHeadFault({ status: 200, reason: "a\t\u00e4", fields })).to.equal(undefined);
  });
});

describe("findRequestFault", () => {
  for (const hosts of [
    ["Host", "a", "Host", "b"],
    ["host", "a", "HOST", "a"],
  ]) {
    it(`refuses ${JSON.stringify(hosts)}`, () => {
      expect(findRequestFault({ version: "1.1", fields: hosts })).to.include("host");
    });
  }
});
