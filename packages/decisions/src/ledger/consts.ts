/** Timeout of a claim write, in milliseconds. */
export const CLAIM_WRITE_TIMEOUT_MS = 2_500;

/** Write attempts for one claim before its call is refused. */
export const MAX_CLAIM_WRITES = 3;

/** How often another writer may change the row first before the call is refused. */
export const MAX_CLAIM_CONFLICTS = 3;

/** Retry-after time for a caller that may repeat the call with the same key, in milliseconds. */
export const CLAIM_RETRY_AFTER_MS = 1_000;

/** Longest backoff between attempts to write the result of a claim, in milliseconds. */
export const MAX_RESULT_BACKOFF_MS = 30_000;

/** Limit for open claims plus results not written yet; further claims are refused. */
export const MAX_OPEN_CLAIMS = 1_000;

/** Largest body and head (status and headers, as JSON) stored in a claim, in bytes. */
export const MAX_STORED_BODY_BYTES = 16_384;
export const MAX_STORED_HEAD_BYTES = 4_096;
