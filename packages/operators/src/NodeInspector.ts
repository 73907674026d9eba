import { getMessage } from "@lycheepulley/core";
import {
  drainMethod,
  NodeClient,
  NodeState,
  statusMethod,
  upstreamsMethod,
  type NodeStatus,
} from "@lycheepulley/nodes";
import type { z } from "zod";

const TIMEOUT_MS = 2_000;

/** One process as an operator sees it. */
export interface InspectedNode {
  readonly name: string;
  readonly state: string;
  readonly failureDomain: string;
  readonly control: string;
  /** Its own answer; undefined when it did not give one. */
  readonly status: NodeStatus | undefined;
  readonly error: string | undefined;
}

type Upstreams = z.output<typeof upstreamsMethod.result>;

/** Asks entry processes about themselves, beginning at one control address. */
export class NodeInspector {
  readonly #origin: string;

  constructor(controlOrigin: string) {
    this.#origin = controlOrigin;
  }

  /** Asks the first process for the members, and every member for its own state. */
  async inspectAll(): Promise<InspectedNode[]> {
    const first = await this.#ask(this.#origin);
    return Promise.all(
      first.members
        .filter(({ state }) => state !== NodeState.Gone)
        .map(async ({ name, state, failureDomain, host, controlPort }) => {
          const control = `http://${host}:${String(controlPort)}`;
          const about = { name, state, failureDomain, control };
          try {
            return { ...about, status: await this.#ask(control), error: undefined };
          } catch (err) {
            return { ...about, status: undefined, error: getMessage(err) };
          }
        }),
    );
  }

  /** Engines of every pool, as their owners see them. */
  async listUpstreams(): Promise<Upstreams> {
    const nodes = await this.inspectAll();
    const answers = await Promise.all(
      nodes
        .filter(({ status }) => status !== undefined && status.pools.length > 0)
        .map(({ control }) => withClient(control, (client) => client.call(upstreamsMethod, {}))),
    );
    return answers.flat();
  }

  /** Tells the process at this control address to leave in good order. */
  async drain(by: string): Promise<boolean> {
    const answer = await withClient(this.#origin, (client) => client.call(drainMethod, { by }));
    return answer.accepted;
  }

  #ask(origin: string): Promise<NodeStatus> {
    return withClient(origin, (client) => client.call(statusMethod, {}, { timeoutMs: TIMEOUT_MS }));
  }
}

const withClient = async <T>(
  origin: string,
  use: (client: NodeClient) => Promise<T>,
): Promise<T> => {
  const client = new NodeClient({ name: origin, origin });
  try {
    return await use(client);
  } finally {
    await client.close();
  }
};
