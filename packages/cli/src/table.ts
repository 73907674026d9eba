import Table from "cli-table3";

/** Formats rows as a text table without colours. */
export const formatTable = (
  head: readonly string[],
  rows: readonly (readonly string[])[],
): string => {
  const table = new Table({ head: [...head], style: { head: [], border: [] } });
  rows.forEach((row) => table.push([...row]));
  return table.toString();
};
