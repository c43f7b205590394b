/** Number of consecutive failures after which an endpoint is ejected. */
export const FAILURES_BEFORE_EJECTION = 5;

/** Longest duration of the first ejection, in milliseconds; it doubles with each further one. */
export const EJECTION_BASE_MS = 5_000;

/** Longest duration of any ejection, in milliseconds. */
export const MAX_EJECTION_MS = 60_000;

/** Time in which the traffic of a readmitted endpoint grows to its full amount, in milliseconds. */
export const SLOW_START_MS = 10_000;

/** Fraction of its usual new work that an endpoint gets immediately after an ejection. */
export const SLOW_START_MIN_FRACTION = 0.1;

/** Fraction of a pool, but at least one endpoint, that is never ejected. */
export const MIN_USABLE_FRACTION = 0.25;

/** Time after the last report of `leaving` during which `live` in a list is ignored, in ms. */
export const LEAVING_HOLD_DOWN_MS = 30_000;
