import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, normalize, relative } from "node:path";
import { fileURLToPath } from "node:url";

import { expect } from "chai";

const ROOT = fileURLToPath(new URL("../../../../", import.meta.url));
const IMPORT = /from "(\.[^"]+)\.js"/g;

const findSources = (folder: string): string[] =>
  readdirSync(folder, { recursive: true, encoding: "utf8" })
    .filter((name) => name.endsWith(".ts"))
    .map((name) => join(folder, name));

/** Files that each source file imports from its own package. */
const readImports = (): Map<string, string[]> => {
  const packages = readdirSync(join(ROOT, "packages")).map((name) => join("packages", name));
  const files = [...packages, "platform"].flatMap((name) => findSources(join(ROOT, name, "src")));
  return new Map(
    files.map((file) => {
      const paths = [...readFileSync(file, "utf8").matchAll(IMPORT)].map(
        ([, path = ""]) => `${normalize(join(dirname(file), path))}.ts`,
      );
      return [file, paths];
    }),
  );
};

const findCycles = (imports: ReadonlyMap<string, readonly string[]>): string[] => {
  const cycles: string[] = [];
  const visited = new Set<string>();
  const visit = (file: string, path: readonly string[]): void => {
    if (path.includes(file)) {
      const cycle = [...path.slice(path.indexOf(file)), file];
      cycles.push(cycle.map((member) => relative(ROOT, member)).join(" -> "));
      return;
    }
    if (!visited.has(file)) {
      visited.add(file);
      imports.get(file)?.forEach((next) => {
        visit(next, [...path, file]);
      });
    }
  };
  [...imports.keys()].forEach((file) => {
    visit(file, []);
  });
  return cycles;
};

describe("imports within packages", () => {
  // Guards against files that import each other; the linter watches imports between packages.
  it("form no cycle", () => {
    const imports = readImports();
    expect(imports.size).to.be.above(100);
    expect(findCycles(imports)).to.deep.equal([]);
  });
});
