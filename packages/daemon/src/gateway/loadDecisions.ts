/** Decisions under load that a deployment switches on; each is off when absent. */
export interface LoadDecisions {
  /** Requests are placed by what such requests have cost so far. */
  readonly learnsCosts?: boolean;
  /** Prompts that wait for KV memory are promised room, or rejected at once when they get none in time. */
  readonly promisesRoom?: boolean;
  /** Customers have shares of a contended pool. */
  readonly sharesRoom?: boolean;
  /** Placement weighs the crossing of failure domains. */
  readonly weighsDistance?: boolean;
}

/** Names under which operators switch load decisions on. */
const NAMES: ReadonlyMap<string, keyof LoadDecisions> = new Map([
  ["costs", "learnsCosts"],
  ["room", "promisesRoom"],
  ["shares", "sharesRoom"],
  ["distance", "weighsDistance"],
]);

/** List of all load decisions. */
export const ALL_LOAD_DECISIONS = [...NAMES.keys()].join(",");

/** Thrown for a load decision that doesn't exist; the message names it. */
export class LoadDecisionError extends Error {}

/**
 * Reads load decisions from a list of names separated by commas.
 *
 * @throws {LoadDecisionError} for a name that isn't known
 */
export const parseLoadDecisions = (list: string): LoadDecisions => {
  const names = list.split(",").map((name) => name.trim());
  return Object.fromEntries(
    names
      .filter((name) => name !== "")
      .map((name) => {
        const field = NAMES.get(name);
        if (!field) {
          throw new LoadDecisionError(
            `decide: unknown load decision "${name}"; known: ${ALL_LOAD_DECISIONS}`,
          );
        }
        return [field, true];
      }),
  );
};
