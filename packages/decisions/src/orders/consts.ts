/** How long a lease lasts, counted by its holder from when the request for it was sent, in ms. */
export const LEASE_MS = 9_000;

/** Part of a lease that others wait in addition, for clocks that run at different rates. */
export const CLOCK_RATE_MARGIN = 0.1;

/** How often a holder renews and a candidate looks, in milliseconds. */
export const LEASE_ROUND_MIN_MS = 2_000;
export const LEASE_ROUND_MAX_MS = 3_000;

/** Entry VMs of a failure domain that try to hold the lease; the others do not read it. */
export const LEASE_CANDIDATES = 2;

/** Longest wait for a reply of the platform, in milliseconds. */
export const LEASE_REPLY_LIMIT_MS = 2_500;

/** Longest wait for a reply of an engine, in milliseconds. */
export const ENGINE_REPLY_LIMIT_MS = 2_500;

/** Time after a decision within which an order must leave the process, in milliseconds. */
export const ORDER_SEND_LIMIT_MS = 500;

/** Longest time from the decision on an order to its arrival at the engine, in milliseconds. */
export const LONGEST_ORDER_DELAY_MS = 5_000;

/** How often a holder compares engines with what is declared, in milliseconds. */
export const ORDER_ROUND_MS = 1_000;

/** How often an engine that serves what is declared is looked at again, in milliseconds. */
export const READ_BACK_MS = 10_000;

/** Engines of a failure domain that load at the same time; the weight store is rate-limited. */
export const MAX_LOADING_ENGINES = 2;
