import type {
  AnswerAssembler,
  AnswerChunk,
  ClassifiedRequest,
  FleetConfig,
  PromptRequest,
} from "@lycheepulley/core";

import type { RequestContext } from "./RequestContext.js";

/** One prompt on its way through the runner. */
export interface PromptJob {
  readonly req: PromptRequest;
  readonly ctx: RequestContext;
  readonly cfg: FleetConfig;
  readonly classified: ClassifiedRequest;
  readonly assembler: AnswerAssembler;
  readonly answerTexts: string[];
  readonly excludedEngines: string[];
  readonly onChunk: (chunk: AnswerChunk) => void;
}
