import { newSilentLogger } from "@lycheepulley/telemetry";
import { expect } from "chai";

import type { ListPosition } from "./listPosition.js";
import { ReadOrder, SourceGenerations } from "./ReadOrder.js";

/** A read's version, with the versions of its entries, and what else becomes known before it is sent. */
interface Step {
  readonly version: number;
  readonly entries?: Readonly<Record<string, number>>;
  readonly epoch?: number;
  /** A peer states this generation. */
  readonly heard?: number;
  /** A peer's list of this position is in force. */
  readonly known?: ListPosition;
}

/** The generation of each read; undefined for one in doubt. */
const readAll = (steps: readonly Step[]): (number | undefined)[] => {
  const generations = new SourceGenerations();
  let known: ListPosition | undefined;
  const order = new ReadOrder({
    ...{ source: "list", logger: newSilentLogger(), generations },
    getKnown: () => known,
  });
  return steps.map(({ version, entries, epoch, heard, known: fromPeer }) => {
    generations.observe(heard);
    known = fromPeer ?? known;
    order.onReadStart();
    const entryVersions = entries && new Map(Object.entries(entries));
    const generation = order.getGeneration({ version, epoch, entryVersions });
    if (generation !== undefined) {
      known = { version, epoch, generation };
    }
    return generation;
  });
};

const at = (...versions: number[]): Step[] => versions.map((version) => ({ version }));

describe("ReadOrder", () => {
  const cases: readonly [
    name: string,
    steps: readonly Step[],
    generations: (number | undefined)[],
  ][] = [
    ["rising versions are of one log", at(3, 3, 8), [0, 0, 0]],
    // Guards against an answer of an older copy that undoes what is newer.
    ["a lower version that comes once is in doubt", at(8, 3, 8), [0, undefined, 0]],
    [
      "lower versions beside higher ones stay in doubt",
      at(8, 3, 8, 3, 9),
      [0, undefined, 0, undefined, 0],
    ],
    // Guards against a service that began again, whose versions all count as older.
    ["lower versions in a row begin a generation", at(8, 3, 3, 4), [0, undefined, undefined, 1]],
    ["which goes on", at(8, 0, 0, 0, 2, 5), [0, undefined, undefined, 1, 1, 1]],
    ["lower versions that fall begin none", at(9, 5, 4, 3, 2), [0, ...Array<undefined>(4)]],
    [
      "a service may begin again twice",
      at(8, 3, 3, 3, 1, 1, 1),
      [0, undefined, undefined, 1, undefined, undefined, 2],
    ],
    [
      "a record that differs shows it when the versions have grown",
      [
        { version: 4, entries: { a: 3 } },
        ...Array<Step>(3).fill({ version: 6, entries: { a: 2, b: 5 } }),
      ],
      [0, undefined, undefined, 1],
    ],
    [
      "and when they are the same",
      [
        { version: 4, entries: { a: 3 } },
        ...Array<Step>(3).fill({ version: 4, entries: { b: 3 } }),
      ],
      [0, undefined, undefined, 1],
    ],
    [
      "records that were written or dropped since don't",
      [
        { version: 4, entries: { a: 1, b: 3 } },
        { version: 7, entries: { a: 1, c: 6 } },
      ],
      [0, 0],
    ],
    [
      "a process that had only peers finds it",
      [{ version: 2 }, { version: 3, known: { version: 80 } }, ...at(3, 5)],
      [0, undefined, undefined, 1],
    ],
    [
      "one that heard of a generation reads in it",
      [{ version: 80 }, { version: 3, heard: 1 }, ...at(4)],
      [0, 1, 1],
    ],
    [
      "one that heard of it while in doubt begins no other",
      [{ version: 80 }, { version: 3 }, { version: 3, heard: 1 }, ...at(4)],
      [0, undefined, 1, 1],
    ],
    [
      "a newer epoch isn't a generation",
      [
        { version: 80, epoch: 1 },
        { version: 3, epoch: 2 },
      ],
      [0, 0],
    ],
    [
      "an older epoch isn't either",
      [
        { version: 8, epoch: 2 },
        { version: 90, epoch: 1 },
      ],
      [0, 0],
    ],
  ];
  for (const [name, steps, generations] of cases) {
    it(name, () => {
      expect(readAll(steps)).to.deep.equal(generations);
    });
  }
});
