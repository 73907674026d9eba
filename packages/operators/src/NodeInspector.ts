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

const STATUS_TIMEOUT_MS = 2_000;

/** A member of the fleet with the status that it reports. */
export interface InspectedNode {
  readonly name: string;
  readonly state: string;
  readonly failureDomain: string;
  readonly control: string;
  /** Status reported by the process; undefined if the call failed. */
  readonly status: NodeStatus | undefined;
  /** Why the call failed; undefined if it succeeded. */
  readonly error: string | undefined;
}

type Upstreams = z.output<typeof upstreamsMethod.result>;

/** Queries entry processes for their state, starting from the control address of one of them. */
export class NodeInspector {
  readonly #origin: string;

  constructor(controlOrigin: string) {
    this.#origin = controlOrigin;
  }

  /** Fetches the member list from the first process, then the status of every member. */
  async inspectAll(): Promise<InspectedNode[]> {
    const firstStatus = await this.#fetchStatus(this.#origin);
    return Promise.all(
      firstStatus.members
        .filter(({ state }) => state !== NodeState.Gone)
        .map(async ({ name, state, failureDomain, host, controlPort }) => {
          const control = `http://${host}:${String(controlPort)}`;
          const member = { name, state, failureDomain, control };
          try {
            return { ...member, status: await this.#fetchStatus(control), error: undefined };
          } catch (err) {
            return { ...member, status: undefined, error: getMessage(err) };
          }
        }),
    );
  }

  /** Lists the engines of every pool, as the process that owns the pool reports them. */
  async listUpstreams(): Promise<Upstreams> {
    const nodes = await this.inspectAll();
    const answers = await Promise.all(
      nodes
        .filter(({ status }) => status !== undefined && status.pools.length > 0)
        .map(({ control }) => withClient(control, (client) => client.call(upstreamsMethod, {}))),
    );
    return answers.flat();
  }

  /** Asks the process at the control address to drain; resolves to whether it accepted. */
  async drain(by: string): Promise<boolean> {
    const answer = await withClient(this.#origin, (client) => client.call(drainMethod, { by }));
    return answer.accepted;
  }

  #fetchStatus(origin: string): Promise<NodeStatus> {
    return withClient(origin, (client) =>
      client.call(statusMethod, {}, { timeoutMs: STATUS_TIMEOUT_MS }),
    );
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
