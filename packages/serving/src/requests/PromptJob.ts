import type {
  AnswerAssembler,
  AnswerChunk,
  ClassifiedRequest,
  FleetConfig,
  PromptRequest,
} from "@lycheepulley/core";

import type { RequestContext } from "./RequestContext.js";

/** State of one prompt request while the prompt runner runs it. */
export interface PromptJob {
  readonly req: PromptRequest;
  readonly ctx: RequestContext;
  readonly cfg: FleetConfig;
  readonly classified: ClassifiedRequest;
  readonly assembler: AnswerAssembler;
  /** Texts of the answer's chunks so far. */
  readonly answerTexts: string[];
  /** Engines on which an attempt has failed. */
  readonly excludedEngines: string[];
  readonly onChunk: (chunk: AnswerChunk) => void;
}
