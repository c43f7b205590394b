/** Failures in a row after which an endpoint is ejected. */
export const FAILURES_BEFORE_EJECTION = 5;

/** Length of the first ejection; it doubles with each one up to the limit, in milliseconds. */
export const EJECTION_BASE_MS = 5_000;
export const EJECTION_LIMIT_MS = 60_000;

/** Time in which the share of an endpoint that came back grows to the whole, in milliseconds. */
export const RETURN_MS = 10_000;

/** Share of new work right after the return. */
export const RETURN_MIN_SHARE = 0.1;

/** Share of a pool that is never ejected, one endpoint at the least. */
export const MIN_POOL_SHARE = 0.25;

/** A list that says `live` is believed after `leaving` was last said so long ago, in milliseconds. */
export const LEAVING_HOLD_MS = 30_000;
