/** Bytes of text that stand for one token where the model's tokenizer is not at hand. */
export const BYTES_PER_TOKEN = 4;

/** Estimates the length of a prompt in tokens from the size of its texts. */
export const estimateTokens = (texts: readonly string[]): number => {
  const bytes = texts.reduce((sum, text) => sum + Buffer.byteLength(text), 0);
  return Math.max(1, Math.ceil(bytes / BYTES_PER_TOKEN));
};
