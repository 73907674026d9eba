import { createHash } from "node:crypto";

/** The fields of an OpenAI-compatible body that hold its prompt. */
export interface PromptBody {
  readonly messages?: readonly { readonly content?: unknown }[] | undefined;
  readonly prompt?: unknown;
}

const getContentText = (content: unknown): string => {
  if (typeof content === "string") {
    return content;
  }
  return content === undefined ? "" : JSON.stringify(content);
};

/** Returns the prompt text of a body: the contents of its messages, or its prompt field. */
export const getPromptText = (body: PromptBody): string =>
  body.messages
    ? body.messages.map(({ content }) => getContentText(content)).join("\n")
    : getContentText(body.prompt);

/** Bytes of prompt text that one cached prefix block covers. */
export const PREFIX_BLOCK_BYTES = 1_024;
const BLOCK_ID_HEX_DIGITS = 16;

/**
 * Returns the ids of a prompt's leading prefix blocks. Each id is a hash of the
 * previous id and the block, so it identifies the whole text up to its end.
 */
export const getPrefixBlocks = (text: string, maxBlocks: number): string[] => {
  const bytes = Buffer.from(text.slice(0, maxBlocks * PREFIX_BLOCK_BYTES));
  const blocks: string[] = [];
  let blockId = "";
  const count = Math.min(maxBlocks, Math.floor(bytes.length / PREFIX_BLOCK_BYTES));
  for (let i = 0; i < count; i += 1) {
    const block = bytes.subarray(i * PREFIX_BLOCK_BYTES, (i + 1) * PREFIX_BLOCK_BYTES);
    const digest = createHash("sha256").update(blockId).update(block).digest("hex");
    blockId = digest.slice(0, BLOCK_ID_HEX_DIGITS);
    blocks.push(blockId);
  }
  return blocks;
};
