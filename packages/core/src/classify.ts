import type { ClassConfig, FleetConfig, ModelConfig } from "./config/schema.js";
import { PulleyError, Step, Verdict } from "./errors.js";
import { sha256 } from "./ids.js";
import { estimateTokens } from "./tokens.js";

/** What the door knows of a prompt request before it is classified. */
export interface IncomingRequest {
  readonly model: string;
  /** Length of the prompt's text, bytes. */
  readonly promptBytes: number;
  readonly maxTokens: number;
  /** Class that the caller asked for. */
  readonly className: string | undefined;
}

/** A request with its class, model and estimate. */
export interface ClassifiedRequest {
  readonly className: string;
  readonly cls: ClassConfig;
  readonly modelName: string;
  readonly model: ModelConfig;
  readonly promptTokens: number;
}

const refuse = (code: string, message: string, param: string, status = 400): PulleyError =>
  new PulleyError(message, { code, step: Step.Classify, verdict: Verdict.NotRun, status, param });

/** Finds the class, model and estimate of a request, or refuses it as not run. */
export const classifyRequest = (cfg: FleetConfig, req: IncomingRequest): ClassifiedRequest => {
  const model = cfg.models[req.model];
  if (!model) {
    throw refuse("unknown_model", `no model "${req.model}" is configured`, "model", 404);
  }
  const promptTokens = estimateTokens(req.promptBytes, model.bytesPerToken);
  const total = promptTokens + req.maxTokens;
  if (total > model.contextTokens) {
    const limit = String(model.contextTokens);
    throw refuse(
      "context_length_exceeded",
      `prompt and answer need about ${String(total)} tokens; model "${req.model}" takes ${limit}`,
      "messages",
    );
  }
  const { className } = req;
  if (className !== undefined && !cfg.classes[className]) {
    throw refuse(
      "unknown_class",
      `no request class "${className}" is configured`,
      "x-request-class",
    );
  }
  const found = Object.entries(cfg.classes).find(
    ([name, cls]) =>
      (className === undefined ? !cls.nonIdempotent : name === className) &&
      cls.models.includes(req.model) &&
      promptTokens <= cls.maxPromptTokens,
  );
  if (!found) {
    throw refuse(
      "no_class",
      `no request class takes ${String(promptTokens)} prompt tokens for model "${req.model}"`,
      className === undefined ? "messages" : "x-request-class",
    );
  }
  return { className: found[0], cls: found[1], modelName: req.model, model, promptTokens };
};

const customersByKey = new WeakMap<FleetConfig, ReadonlyMap<string, string>>();

const getCustomersByKey = (cfg: FleetConfig): ReadonlyMap<string, string> => {
  const known = customersByKey.get(cfg);
  if (known) {
    return known;
  }
  const made = new Map(Object.entries(cfg.customers).map(([name, c]) => [c.keySha256, name]));
  customersByKey.set(cfg, made);
  return made;
};

/** Name of the customer whose API key this is. */
export const findCustomer = (cfg: FleetConfig, apiKey: string): string | undefined =>
  getCustomersByKey(cfg).get(sha256(apiKey));
