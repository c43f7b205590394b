export const REQUEST_ID_HEADER = 'x-request-id';

/** Header with the longest time that the caller waits for the complete response, in seconds. */
export const TIMEOUT_HEADER = 'x-request-timeout';

export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

export const MS_PER_S = 1_000;

/** Retry-After for conditions that usually end within a second, in milliseconds. */
export const SHORT_RETRY_AFTER_MS = 1_000;
