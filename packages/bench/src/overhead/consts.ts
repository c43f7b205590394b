export const CREDENTIAL = 'bench-credential';

/** A prompt of about a thousand estimated tokens. */
export const PROMPT = 'What is the balance of the chair by the window? '.repeat(85);

export const MS_PER_S = 1_000;

/**
 * Milliseconds between two tokens of a stream at each engine; 0 sends the whole answer at once, and
 * below 0 no token ever comes.
 */
export const STEP_MS = { instant: 0, paced: 8, slow: 100, silent: -1 } as const;
