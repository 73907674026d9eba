import type { NodeCaller } from "@lycheepulley/nodes";

/** The entry processes that this one knows to be at work. */
export interface MemberDirectory {
  /** Name of this process. */
  readonly self: string;
  /** Names of live processes, this one included while it is live. */
  getLive(): readonly string[];
  /** Way to call another process; undefined when its address is unknown. */
  getCaller(name: string): NodeCaller | undefined;
  /** Notes that a call to a process failed, so that others are preferred for a while. */
  noteFailure(name: string): void;
}
