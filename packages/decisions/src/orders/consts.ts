/**
 * Duration of a lease, counted by its holder from the time it sent the request, in milliseconds.
 */
export const LEASE_MS = 9_000;

/** Fraction of the lease duration that candidates wait in addition, to allow for clock drift. */
export const CLOCK_DRIFT_MARGIN = 0.1;

/** Interval at which a holder renews the lease and a candidate reads it, in milliseconds. */
export const MIN_LEASE_INTERVAL_MS = 2_000;
export const MAX_LEASE_INTERVAL_MS = 3_000;

/** Entry VMs of a failure domain that try to take the lease; the others do not read it. */
export const LEASE_CANDIDATES = 2;

/** Timeout of a lease read or write at the platform, in milliseconds. */
export const LEASE_REPLY_TIMEOUT_MS = 2_500;

/** Timeout of a call to an engine, in milliseconds. */
export const ENGINE_REPLY_TIMEOUT_MS = 2_500;

/** Time from the decision about an order after which it is no longer sent, in milliseconds. */
export const ORDER_SEND_TIMEOUT_MS = 500;

/** Longest time from the decision about an order to its arrival at the engine, in milliseconds. */
export const MAX_ORDER_DELAY_MS = 5_000;

/** Interval at which the lease holder compares engines with the configuration, in milliseconds. */
export const RECONCILE_INTERVAL_MS = 1_000;

/**
 * Interval at which an engine with the declared placement is read again, in milliseconds; also the
 * delay before the next order to an engine that refused one.
 */
export const PLACEMENT_CHECK_INTERVAL_MS = 10_000;

/**
 * Largest number of engines per failure domain that load at the same time, because the weight store
 * is rate-limited.
 */
export const MAX_LOADING_ENGINES = 2;
