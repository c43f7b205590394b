/** When a caller is told to come back after a failure that need not last, in milliseconds. */
export const FAILURE_RETRY_AFTER_MS = 1_000;

/** How long an entry VM that drains waits for results of claims to be written, in milliseconds. */
export const DRAIN_SETTLE_MS = 30_000;

/** Set on an answer that was stored under an idempotency key. */
export const REPLAYED_HEADER = 'idempotency-replayed';
