/** Retries that one request earns for its entry VM, its team and its endpoint. */
export const RETRIES_EARNED_PER_REQUEST = 0.04;

/** Retries that an entry VM may make at once, for one team, and at one endpoint. */
export const RETRY_BURST = 10;

/** Retries of these that are left to answers whose beginning the caller has. */
export const RETRIES_KEPT_FOR_STREAMS = 5;

/** Pause before the first retry, in milliseconds; doubles with each further one. */
export const FIRST_BACKOFF_MS = 50;
export const LONGEST_BACKOFF_MS = 2_000;

/** Attempts at endpoints for one request, the first included. */
export const MAX_ATTEMPTS = 6;
