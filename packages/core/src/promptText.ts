import { createHash } from "node:crypto";

/** The parts of an OpenAI-style body that hold its prompt. */
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

/** Prompt text of a body: its messages' contents, or its prompt. */
export const getPromptText = (body: PromptBody): string =>
  body.messages
    ? body.messages.map(({ content }) => getContentText(content)).join("\n")
    : getContentText(body.prompt);

/** Bytes of prompt text that one cached prefix block covers. */
export const PREFIX_BLOCK_BYTES = 1_024;
const BLOCK_ID_LENGTH = 16;

/** Ids of the leading prefix blocks of a prompt: each names the text up to its end. */
export const getPrefixBlocks = (text: string, maxBlocks: number): string[] => {
  const bytes = Buffer.from(text.slice(0, maxBlocks * PREFIX_BLOCK_BYTES));
  const blocks: string[] = [];
  let chain = "";
  const count = Math.min(maxBlocks, Math.floor(bytes.length / PREFIX_BLOCK_BYTES));
  for (let i = 0; i < count; i += 1) {
    const block = bytes.subarray(i * PREFIX_BLOCK_BYTES, (i + 1) * PREFIX_BLOCK_BYTES);
    const digest = createHash("sha256").update(chain).update(block).digest("hex");
    chain = digest.slice(0, BLOCK_ID_LENGTH);
    blocks.push(chain);
  }
  return blocks;
};
