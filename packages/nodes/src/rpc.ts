import type { z } from "zod";

/** A JSON-RPC method of entry processes, with the schemas of its parameters and result. */
export interface RpcMethod<P extends z.ZodType, R extends z.ZodType> {
  readonly name: string;
  readonly params: P;
  readonly result: R;
}

/** Declares a JSON-RPC method. */
export const newRpcMethod = <P extends z.ZodType, R extends z.ZodType>(
  name: string,
  params: P,
  result: R,
): RpcMethod<P, R> => ({ name, params, result });

/** Registers the implementations of methods. */
export interface RpcRegistrar {
  /** Serves one method with `fn`, after its parameters are validated. */
  handle<P extends z.ZodType, R extends z.ZodType>(
    method: RpcMethod<P, R>,
    fn: (params: z.output<P>) => z.input<R> | Promise<z.input<R>>,
  ): void;
}
