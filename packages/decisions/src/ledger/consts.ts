/** Time after which a claim's write counts as unanswered, in milliseconds. */
export const CLAIM_WRITE_TIMEOUT_MS = 2_500;

/** Writes tried for one claim before its call is refused. */
export const MAX_CLAIM_WRITES = 3;

/** Times that the row of a key may change under a claim before its call is refused. */
export const MAX_CLAIM_RACES = 3;

/** When a caller is told to come back with the same key, in milliseconds. */
export const CLAIM_RETRY_AFTER_MS = 1_000;

/** Longest pause between tries to write how a claim ended, in milliseconds. */
export const LONGEST_SETTLE_BACKOFF_MS = 30_000;

/** Claims in work and results that wait to be written, over which no claim is taken. */
export const MAX_OPEN_CLAIMS = 1_000;

/** Largest body and headers kept in a claim, in bytes. */
export const MAX_STORED_BODY_BYTES = 16_384;
export const MAX_STORED_HEAD_BYTES = 4_096;
