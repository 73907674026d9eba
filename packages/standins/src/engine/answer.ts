import { createHash } from "node:crypto";

const WORDS =
  "carton fold line press proof dieline glue flap score varnish archive shelf label review note".split(
    " ",
  );

/** Hash of a prompt, from which its answer is derived. */
export const hashPrompt = (text: string): string => createHash("sha256").update(text).digest("hex");

/** Token `seq` of the answer to a prompt; deterministic, so that tests can check answers. */
export const getAnswerToken = (promptHash: string, seq: number): string => {
  const hexOffset = (seq * 2) % (promptHash.length - 2);
  const index = (parseInt(promptHash.slice(hexOffset, hexOffset + 2), 16) + seq) % WORDS.length;
  return `${WORDS[index] ?? ""}${String(seq)} `;
};

/** Complete answer to a prompt, `tokens` tokens long. */
export const getWholeAnswer = (promptText: string, tokens: number): string => {
  const hash = hashPrompt(promptText);
  return Array.from({ length: tokens }, (_, seq) => getAnswerToken(hash, seq)).join("");
};
