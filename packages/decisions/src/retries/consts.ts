/** Retries that one request earns for its entry VM, its team and its endpoint. */
export const RETRIES_EARNED_PER_REQUEST = 0.05;

/** Retries that an entry VM may make at once, over all teams and endpoints. */
export const NODE_RETRY_BURST = 5;

/** Retries that may be made at once for a team, or at an endpoint. */
export const TEAM_RETRY_BURST = 5;
export const ENDPOINT_RETRY_BURST = 5;

/** Pause before the first retry, in milliseconds; doubles with each further one. */
export const FIRST_BACKOFF_MS = 50;
export const LONGEST_BACKOFF_MS = 2_000;

/** Attempts at endpoints for one request, the first included. */
export const MAX_ATTEMPTS = 6;
