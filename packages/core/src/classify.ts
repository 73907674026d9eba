import type { ClassConfig, FleetConfig, ModelConfig } from "./config/schema.js";
import { PulleyError, Step, Verdict } from "./errors.js";
import { sha256 } from "./ids.js";
import { estimateTokens } from "./tokens.js";

/** A prompt request before it is classified. */
export interface IncomingRequest {
  readonly model: string;
  /** Length of the prompt's text, bytes. */
  readonly promptBytes: number;
  readonly maxTokens: number;
  /** Class that the caller asked for. */
  readonly className: string | undefined;
}

/** A request with its class, model and estimated prompt tokens. */
export interface ClassifiedRequest {
  readonly className: string;
  readonly cls: ClassConfig;
  readonly modelName: string;
  readonly model: ModelConfig;
  readonly promptTokens: number;
}

const newRejection = (code: string, message: string, param: string, status = 400): PulleyError =>
  new PulleyError(message, { code, step: Step.Classify, verdict: Verdict.NotRun, status, param });

/**
 * Finds the class and model of a request and estimates its prompt tokens.
 * Throws a {@link PulleyError} with {@link Verdict.NotRun} if none fits.
 */
export const classifyRequest = (cfg: FleetConfig, req: IncomingRequest): ClassifiedRequest => {
  const model = cfg.models[req.model];
  if (!model) {
    throw newRejection("unknown_model", `no model "${req.model}" is configured`, "model", 404);
  }
  const promptTokens = estimateTokens(req.promptBytes, model.bytesPerToken);
  const totalTokens = promptTokens + req.maxTokens;
  if (totalTokens > model.contextTokens) {
    const limit = String(model.contextTokens);
    throw newRejection(
      "context_length_exceeded",
      `prompt and answer need about ${String(totalTokens)} tokens; model "${req.model}" takes ${limit}`,
      "messages",
    );
  }
  const { className } = req;
  if (className !== undefined && !cfg.classes[className]) {
    throw newRejection(
      "unknown_class",
      `no request class "${className}" is configured`,
      "x-request-class",
    );
  }
  const match = Object.entries(cfg.classes).find(
    ([name, cls]) =>
      (className === undefined ? !cls.nonIdempotent : name === className) &&
      cls.models.includes(req.model) &&
      promptTokens <= cls.maxPromptTokens,
  );
  if (!match) {
    throw newRejection(
      "no_class",
      `no request class takes ${String(promptTokens)} prompt tokens for model "${req.model}"`,
      className === undefined ? "messages" : "x-request-class",
    );
  }
  return { className: match[0], cls: match[1], modelName: req.model, model, promptTokens };
};

/** Customer names by hash of the API key, built once per configuration. */
const customersByKey = new WeakMap<FleetConfig, ReadonlyMap<string, string>>();

const getCustomersByKey = (cfg: FleetConfig): ReadonlyMap<string, string> => {
  const cached = customersByKey.get(cfg);
  if (cached) {
    return cached;
  }
  const customers = new Map(Object.entries(cfg.customers).map(([name, c]) => [c.keySha256, name]));
  customersByKey.set(cfg, customers);
  return customers;
};

/** Returns the name of the customer with this API key. */
export const findCustomer = (cfg: FleetConfig, apiKey: string): string | undefined =>
  getCustomersByKey(cfg).get(sha256(apiKey));
