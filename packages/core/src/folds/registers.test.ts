import { expect } from "chai";
import fc from "fast-check";

import { ClaimState, decideClaim, newClaimEnd, parseClaim, type ClaimRequest } from "./claims.js";
import { isLeaseFree, LeaseAction, newLeaseClaim, newLeaseUpdate, parseLease } from "./leases.js";
import { PoisonAction, reducePoison } from "./poison.js";
import { RecordKind, type LogEntry, type LogRecord } from "./records.js";
import { Acceptance, RegisterFold, type Register } from "./registers.js";

const SEED = 20_261_203;
const RUNS = 300;

const toEntries = (records: readonly LogRecord[], startMs = 1_000): LogEntry[] =>
  records.map((record, offset) => ({ offset, timeMs: startMs + offset, records: [record] }));

const foldAll = (entries: readonly LogEntry[]): RegisterFold => {
  const fold = new RegisterFold();
  entries.forEach((entry) => fold.applyEntry(entry));
  return fold;
};

const recordArb = fc.record({
  v: fc.constantFrom(1, 2),
  kind: fc.constantFrom(RecordKind.Config, RecordKind.Lease, "from-a-newer-version"),
  key: fc.constantFrom("a", "b"),
  follows: fc.option(fc.nat(4), { nil: null }),
  writer: fc.constantFrom("w1", "w2", "w3"),
  seq: fc.integer({ min: 1, max: 6 }),
  body: fc.anything().map((value) => JSON.stringify(value) ?? null),
});

const check = (property: fc.IProperty<unknown>): void => {
  fc.assert(property, { seed: SEED, numRuns: RUNS });
};

describe("RegisterFold", () => {
  it("changes nothing when an append is repeated after a lost answer", () => {
    check(
      fc.property(fc.array(recordArb, { maxLength: 30 }), fc.nat(), (records, at) => {
        const index = records.length === 0 ? 0 : at % records.length;
        const repeated = [...records.slice(0, index + 1), ...records.slice(index)];
        const expected = foldAll(toEntries(records)).getSnapshot();
        const actual = foldAll(toEntries(repeated)).getSnapshot();
        expect(
          actual.registers.map(({ key, version, body }) => ({ key, version, body })),
        ).to.deep.equal(
          expected.registers.map(({ key, version, body }) => ({ key, version, body })),
        );
      }),
    );
  });

  it("reaches the same state from the first entry and from any snapshot", () => {
    check(
      fc.property(fc.array(recordArb, { maxLength: 30 }), fc.nat(30), (records, at) => {
        const entries = toEntries(records);
        const early = foldAll(entries.slice(0, at));
        const late = new RegisterFold();
        late.applySnapshot(early.getSnapshot());
        entries.forEach((entry) => late.applyEntry(entry));
        expect(late.getSnapshot()).to.deep.equal(foldAll(entries).getSnapshot());
      }),
    );
  });

  it("ignores an older snapshot", () => {
    check(
      fc.property(
        fc.array(recordArb, { minLength: 1, maxLength: 20 }),
        fc.nat(20),
        (records, at) => {
          const entries = toEntries(records);
          const whole = foldAll(entries);
          const before = whole.getSnapshot();
          const old = foldAll(entries.slice(0, at % records.length)).getSnapshot();
          expect(whole.applySnapshot(old)).to.equal(false);
          expect(whole.getSnapshot()).to.deep.equal(before);
        },
      ),
    );
  });

  it("accepts only the first in log order of several records that follow the same version", () => {
    check(
      fc.property(fc.shuffledSubarray(["w1", "w2", "w3", "w4"], { minLength: 2 }), (writers) => {
        const records = writers.map((writer): LogRecord => {
          return {
            v: 1,
            kind: RecordKind.Config,
            key: "fleet",
            follows: 0,
            writer,
            seq: 1,
            body: writer,
          };
        });
        const fold = new RegisterFold();
        const results = toEntries(records).flatMap((entry) => fold.applyEntry(entry));
        const accepted = results.filter(({ acceptance }) => acceptance === Acceptance.Accepted);
        expect(accepted.map(({ record }) => record.writer)).to.deep.equal([writers[0]]);
      }),
    );
  });

  it("evicts registers whose retention has passed and no others", () => {
    const fold = new RegisterFold({ retentionMs: { claim: 100 } });
    const put = (offset: number, timeMs: number, kind: string, key: string): void => {
      const record = { v: 1, kind, key, follows: 0, writer: `w${String(offset)}`, seq: 1, body: 1 };
      fold.applyEntry({ offset, timeMs, records: [record] });
    };
    put(0, 0, "claim", "old");
    put(1, 10, "config", "kept");
    put(2, 60, "claim", "young");
    put(3, 120, "claim", "new");
    expect(fold.getVersion("claim", "old")).to.equal(0);
    expect(fold.getVersion("claim", "young")).to.equal(1);
    expect(fold.getVersion("config", "kept")).to.equal(1);
  });
});

const newRequest = (requestId: string, holder: string, body = "x"): ClaimRequest => ({
  ...{ key: "k", requestId, holder, bodySha256: body, deadlineMs: 10_000 },
});

describe("claims under any interleaving", () => {
  it("let at most one attempt run, whichever process claims, ends or retries", () => {
    const stepArb = fc.record({
      process: fc.constantFrom("p1", "p2", "p3"),
      act: fc.constantFrom("read", "claim", "run", "give up", "unknown"),
      wallMs: fc.constantFrom(0, 20_000),
    });
    check(
      fc.property(fc.array(stepArb, { maxLength: 40 }), (steps) => {
        const fold = new RegisterFold();
        const seqs = new Map<string, number>();
        const drafts = new Map<string, ReturnType<typeof decideClaim>>();
        const granted = new Map<string, number>();
        let runs = 0;
        let offset = 0;
        const append = (writer: string, draft: Parameters<typeof newRecord>[1]): boolean => {
          const seq = (seqs.get(writer) ?? 0) + 1;
          seqs.set(writer, seq);
          const entry = { offset, timeMs: offset, records: [newRecord(writer, draft, seq)] };
          offset += 1;
          return fold.applyEntry(entry)[0]?.acceptance === Acceptance.Accepted;
        };
        for (const { process, act, wallMs } of steps) {
          const register = fold.getRegister(RecordKind.Claim, "k");
          const claim = parseClaim(register);
          const drafted = drafts.get(process);
          const version = granted.get(process);
          if (act === "read") {
            drafts.set(process, decideClaim(register, newRequest(`${process}r`, process), wallMs));
          } else if (act === "claim" && drafted?.action === "claim") {
            if (append(process, drafted.draft)) {
              granted.set(process, fold.getVersion(RecordKind.Claim, "k"));
            }
            drafts.delete(process);
          } else if (act === "claim" && drafted?.action === "expire") {
            append(process, drafted.draft);
            drafts.delete(process);
          } else if (version !== undefined && claim) {
            granted.delete(process);
            runs += act === "run" ? 1 : 0;
            const state = { run: ClaimState.Ran, "give up": ClaimState.NotRun }[act as "run"];
            append(
              process,
              newClaimEnd({ key: "k", version, claim, state: state ?? ClaimState.Unknown }),
            );
          }
        }
        expect(runs).to.be.at.most(1);
      }),
    );
  });

  const newRecord = (
    writer: string,
    draft: { kind: string; key: string; follows: number | null; body: unknown },
    seq: number,
  ): LogRecord => ({ v: 1, ...draft, writer, seq });
});

describe("records that can't be read", () => {
  const unreadable = (kind: string): Register => ({
    ...{ kind, key: "k", version: 3, body: { from: "a newer version" } },
    ...{ offset: 9, timeMs: 9, writer: "p2/1" },
  });

  // Guards against "key reused" for a key whose request may have run.
  it("make a claim count as one whose request may have run", () => {
    const decision = decideClaim(unreadable(RecordKind.Claim), newRequest("r", "p1"), 0);
    expect(decision).to.have.nested.property("claim.state", ClaimState.Unknown);
    expect(decision.action).to.equal("replay");
  });

  const LEASES = [
    { name: "that was never claimed", register: undefined, isFree: true },
    { name: "that can't be read", register: unreadable(RecordKind.Lease), isFree: false },
    ...Object.values(LeaseAction).map((action) => ({
      name: `after a ${action}`,
      register: {
        ...unreadable(RecordKind.Lease),
        body: { action, holder: "p2/1", epoch: 3, termMs: 1 },
      },
      isFree: action === LeaseAction.Release,
    })),
  ];
  for (const { name, register, isFree } of LEASES) {
    // Guards against a second holder of a duty whose lease this version can't read.
    it(`leave a lease ${name} ${isFree ? "free" : "held"}`, () => {
      expect(isLeaseFree(register)).to.equal(isFree);
    });
  }
});

describe("leases under any interleaving", () => {
  it("give each epoch to one holder and never decrease it", () => {
    check(
      fc.property(
        fc.array(
          fc.tuple(fc.constantFrom("p1", "p2"), fc.constantFrom("claim", "renew", "release")),
          {
            maxLength: 30,
          },
        ),
        (steps) => {
          const fold = new RegisterFold();
          const holders = new Map<number, string>();
          let lastEpoch = 0;
          steps.forEach(([holder, action], offset) => {
            const register = fold.getRegister(RecordKind.Lease, "d");
            const lease = parseLease(register);
            const isOwn = lease?.holder === holder && !isLeaseFree(register);
            if (action !== "claim" && !isOwn) {
              return;
            }
            const draft =
              register && lease && isOwn
                ? newLeaseUpdate(
                    register,
                    lease,
                    action === "release" ? LeaseAction.Release : LeaseAction.Renew,
                  )
                : newLeaseClaim({ duty: "d", register, holder, termMs: 1 });
            const record = { v: 1, ...draft, writer: holder, seq: offset + 1 };
            fold.applyEntry({ offset, timeMs: offset, records: [record] });
            const now = parseLease(fold.getRegister(RecordKind.Lease, "d"));
            if (now) {
              expect(now.epoch).to.be.at.least(lastEpoch);
              expect(holders.get(now.epoch) ?? now.holder).to.equal(now.holder);
              holders.set(now.epoch, now.holder);
              lastEpoch = now.epoch;
            }
          });
        },
      ),
    );
  });
});

describe("reducePoison", () => {
  const { Strike, Withdraw, Lift } = PoisonAction;
  const CASES = [
    { name: "counts strikes", actions: [Strike, Strike], strikes: 2 },
    {
      name: "removes a strike when the upstream had not died",
      actions: [Strike, Withdraw],
      strikes: 0,
    },
    { name: "never falls below zero strikes", actions: [Withdraw], strikes: 0 },
    { name: "removes all strikes on a lift", actions: [Strike, Strike, Lift], strikes: 0 },
  ];
  for (const { name, actions, strikes } of CASES) {
    it(name, () => {
      const state = actions.reduce<unknown>(
        (previous, action) => reducePoison(previous, { action, by: "e1" }),
        undefined,
      );
      expect(state).to.include({ strikes });
    });
  }

  it("keeps its state when a record is invalid", () => {
    const state = reducePoison(undefined, { action: Strike, by: "e1" });
    expect(reducePoison(state, { action: "from a newer version" })).to.deep.equal(state);
  });
});
