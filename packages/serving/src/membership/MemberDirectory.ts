import type { RpcClient } from "@lycheepulley/nodes";

/** The known entry processes, with clients to call them. */
export interface MemberDirectory {
  /** Name of this process. */
  readonly self: string;
  /** Names of live processes, this one included while it is live. */
  getLive(): readonly string[];
  /** Client for calls to another process; undefined when its address is unknown. */
  getClient(name: string): RpcClient | undefined;
  /** Records that a call to a process failed, so that it doesn't count as live for a while. */
  noteFailure(name: string): void;
}
