/** Credential of the caller's team. */
export const CREDENTIAL = 'bench-credential';

/** A prompt whose estimated length is about 1,000 tokens. */
export const PROMPT = 'What is the balance of the chair by the window? '.repeat(85);

export const MS_PER_S = 1_000;

/**
 * Milliseconds between two tokens of a stream, by engine profile. With 0 the engine sends the
 * complete response immediately; below 0 it never sends a token.
 */
export const TOKEN_INTERVAL_MS = { instant: 0, paced: 8, slow: 100, silent: -1 } as const;
