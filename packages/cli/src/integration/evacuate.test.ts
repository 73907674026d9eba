import { execFile } from "node:child_process";
import { promisify } from "node:util";

import { expect } from "chai";

import { ENTRY_POINT } from "../paths.js";
import { SmallFleet } from "./SmallFleet.js";

const execute = promisify(execFile);
/** Each process loads the whole command line, which takes seconds on a busy machine. */
const TIMEOUT_MS = 120_000;
const PROPAGATION_MS = 1_000;
const PAUSE_MS = 300;
const PROMPT = { model: "traductor", prompt: "Hola", max_tokens: 4 };

describe("lycheepulley evacuate", function () {
  this.timeout(TIMEOUT_MS);
  const fleet = new SmallFleet();
  before(() => fleet.start(2));
  after(() => fleet.stop());

  /** Runs a command and returns what it printed. */
  const run = async (...args: readonly string[]): Promise<string> => {
    const log = ["--log", fleet.platformOrigin];
    const { stdout } = await execute(process.execPath, [ENTRY_POINT, ...args, ...log]);
    await new Promise((resolve) => setTimeout(resolve, PROPAGATION_MS));
    return stdout;
  };
  let key = 0;
  const headers = { authorization: "Bearer key-nutibara", "content-type": "application/json" };
  const postAll = (path: string, body: string): Promise<number>[] =>
    fleet.origins.map(async (origin) => {
      const idempotencyKey = `evacuate-${String((key += 1))}`;
      const res = await fetch(`${origin}${path}`, {
        ...{ method: "POST", body, headers: { ...headers, "idempotency-key": idempotencyKey } },
      });
      await res.text();
      return res.status;
    });
  const call = (): Promise<number[]> => Promise.all(postAll("/services/taller/glossary", "a"));
  const prompt = (): Promise<number>[] =>
    postAll("/v1/completions", JSON.stringify({ ...PROMPT, user: String(key) }));

  // Guards against requests of any process that reach a failure domain that an operator emptied.
  it("has no process send anything to the domain until it is taken back", async () => {
    expect(await call()).to.deep.equal([201, 201]);
    expect(await Promise.all(prompt())).to.deep.equal([200, 200]);
    expect(await run("evacuate", "poblado", "--operator", "ines")).to.include("evacuated poblado");
    const [evacuation] = JSON.parse(await run("evacuations", "--json")) as object[];
    expect(evacuation).to.include({ domain: "poblado", by: "ines", version: 1 });
    expect(await call()).to.deep.equal([503, 503]);
    const waiting = prompt();
    const isAnswered = Promise.any(waiting).then(() => true);
    const pause = new Promise<boolean>((resolve) => setTimeout(resolve, PAUSE_MS, false));
    expect(await Promise.race([isAnswered, pause])).to.equal(false);
    expect(await run("evacuate", "poblado", "--undo")).to.include("took back");
    expect(await Promise.all(waiting)).to.deep.equal([200, 200]);
    expect(await call()).to.deep.equal([201, 201]);
  });
});
