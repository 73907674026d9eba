import type {
  AnswerSink,
  Fate,
  PromptOutcome,
  PromptRequest,
  ServiceOutcome,
  ServiceRequest,
} from "@lycheepulley/core";

/** A request that was given an id and can be run or rejected. */
export interface AcceptedRequest {
  readonly requestId: string;
  runPrompt(req: PromptRequest, sink: AnswerSink): Promise<PromptOutcome>;
  runService(req: ServiceRequest): Promise<ServiceOutcome>;
  /** Ends a request that failed; its fate follows from `err`. */
  reject(err: unknown): void;
}

/** One address that a caller may use. */
export interface CallerAddress {
  readonly host: string;
  readonly port: number;
  readonly failureDomain: string;
}

/** Answer to a caller that asks which addresses to use. */
export interface AddressAnswer {
  /** Addresses in the order in which to try them. */
  readonly addresses: readonly CallerAddress[];
  /** How long the caller may keep the answer, milliseconds. */
  readonly keepMs: number;
}

/** What the server for callers needs from the rest of the process. */
export interface ServingApi {
  /** Name of the customer with this API key; undefined for an unknown key. */
  authenticate(apiKey: string): string | undefined;
  /** Address to which callers are redirected late in a drain; undefined before. */
  getRedirectAddress(): CallerAddress | undefined;
  accept(customer: string): AcceptedRequest;
  readonly maxBodyBytes: number;
  /** True while new requests are rejected because too many are in flight. */
  readonly isFull: boolean;
  listModels(): readonly string[];
  getAddresses(customer: string, failureDomain: string | undefined): AddressAnswer;
  /** Fate of a request; undefined when `requestId` isn't a request id. */
  fetchFate(requestId: string): Promise<Fate | undefined>;
  getMetrics(): Promise<string>;
}
