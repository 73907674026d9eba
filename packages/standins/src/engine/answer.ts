import { createHash } from "node:crypto";

const WORDS =
  "carton fold line press proof dieline glue flap score varnish archive shelf label review note".split(
    " ",
  );

/** Seed of a prompt's answer. */
export const hashPrompt = (text: string): string => createHash("sha256").update(text).digest("hex");

/** Token number `seq` of the answer to a prompt; the same prompt has the same answer. */
export const getAnswerToken = (promptHash: string, seq: number): string => {
  const at = (seq * 2) % (promptHash.length - 2);
  const index = (parseInt(promptHash.slice(at, at + 2), 16) + seq) % WORDS.length;
  return `${WORDS[index] ?? ""}${String(seq)} `;
};

/** Whole answer of `tokens` tokens to a prompt. */
export const getWholeAnswer = (promptText: string, tokens: number): string => {
  const hash = hashPrompt(promptText);
  return Array.from({ length: tokens }, (_, seq) => getAnswerToken(hash, seq)).join("");
};
