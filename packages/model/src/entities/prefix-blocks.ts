/** Estimated tokens of a prompt in one block of its prefix digests. */
export const PREFIX_BLOCK_TOKENS = 1_024;
