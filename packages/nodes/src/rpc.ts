import type { z } from "zod";

/** One method between entry processes, with the shapes of its call and answer. */
export interface RpcMethod<P extends z.ZodType, R extends z.ZodType> {
  readonly name: string;
  readonly params: P;
  readonly result: R;
}

/** Declares a method. */
export const newRpcMethod = <P extends z.ZodType, R extends z.ZodType>(
  name: string,
  params: P,
  result: R,
): RpcMethod<P, R> => ({ name, params, result });
