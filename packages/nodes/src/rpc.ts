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

/** Takes the implementations of methods. */
export interface RpcRegistrar {
  /** Serves one method; its parameters are checked before `fn` sees them. */
  handle<P extends z.ZodType, R extends z.ZodType>(
    method: RpcMethod<P, R>,
    fn: (params: z.output<P>) => z.input<R> | Promise<z.input<R>>,
  ): void;
}
