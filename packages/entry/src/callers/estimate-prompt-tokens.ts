/** Assumed bytes of UTF-8 text per token; this process does not have the models' tokenizers. */
export const BYTES_PER_TOKEN = 4;

/** Estimates the length of a prompt in tokens from the size of its texts; at least 1. */
export const estimatePromptTokens = (texts: readonly string[]): number => {
  const bytes = texts.reduce((sum, text) => sum + Buffer.byteLength(text), 0);
  return Math.max(1, Math.ceil(bytes / BYTES_PER_TOKEN));
};
