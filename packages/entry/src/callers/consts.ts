export const REQUEST_ID_HEADER = 'x-request-id';

/** Header in which a caller states how long it waits for the whole answer, in seconds. */
export const TIMEOUT_HEADER = 'x-request-timeout';

export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

export const MS_PER_S = 1_000;

/** When to ask again where the reason passes soon. */
export const SOON_RETRY_MS = 1_000;
