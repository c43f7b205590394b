/** Retry tokens that one request adds to the budgets of its entry VM, its team and its endpoint. */
export const RETRY_TOKENS_PER_REQUEST = 0.04;

/** Capacity of each retry budget, in tokens. */
export const RETRY_BURST = 10;

/** Retry tokens of each budget that are reserved for responses that the caller has in part. */
export const RETRY_TOKENS_RESERVED_FOR_STREAMS = 5;

/** Backoff before the first retry, without jitter; doubles with each further one. */
export const FIRST_BACKOFF_MS = 50;

/** Longest backoff before a retry, without jitter. */
export const MAX_BACKOFF_MS = 2_000;

/** Most attempts for one request, including the first. */
export const MAX_ATTEMPTS = 6;
