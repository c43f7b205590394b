/** Retry-after time that callers get after a transient failure, in milliseconds. */
export const FAILURE_RETRY_AFTER_MS = 1_000;

/** Longest time that a drain waits for claim results to be written, in milliseconds. */
export const MAX_DRAIN_CLAIM_WAIT_MS = 30_000;

/** Response header on a stored answer that is replayed for a repeated idempotency key. */
export const REPLAYED_HEADER = 'idempotency-replayed';
