import type {
  AnswerSink,
  Fate,
  PromptOutcome,
  PromptRequest,
  ServiceOutcome,
  ServiceRequest,
} from "@lycheepulley/core";

/** A request that got its id. */
export interface AcceptedRequest {
  readonly requestId: string;
  runPrompt(req: PromptRequest, sink: AnswerSink): Promise<PromptOutcome>;
  runService(req: ServiceRequest): Promise<ServiceOutcome>;
  /** Ends a request that was refused before it could run. */
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
  /** In the order in which to try them. */
  readonly addresses: readonly CallerAddress[];
  /** How long the caller may keep the answer, milliseconds. */
  readonly keepMs: number;
}

/** What the door towards callers needs from the rest of the system. */
export interface ServingApi {
  /** Name of the customer with this API key. */
  authenticate(apiKey: string): string | undefined;
  /** Where to send a caller that came too late; undefined while this process serves. */
  getRedirectAddress(): CallerAddress | undefined;
  accept(customer: string): AcceptedRequest;
  readonly maxBodyBytes: number;
  /** Refuses at the door while too many requests are in flight. */
  readonly isFull: boolean;
  listModels(): readonly string[];
  getAddresses(customer: string, failureDomain: string | undefined): AddressAnswer;
  /** Fate of a request; undefined for what isn't a request id. */
  fetchFate(requestId: string): Promise<Fate | undefined>;
  getMetrics(): Promise<string>;
}
