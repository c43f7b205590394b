/** Endpoints that one round of probes connects to. */
export const PROBES_PER_ROUND = 4;

/** Time for a probe to connect, in milliseconds. Covers several round trips. */
export const PROBE_TIMEOUT_MS = 350;

/** Least time between the begins of two rounds of probes, in milliseconds. */
export const MIN_ROUND_INTERVAL_MS = 250;

/** Interval of the rounds while the path is lost, in milliseconds. */
export const LOST_ROUND_INTERVAL_MS = 400;

/**
 * A round of probes starts when attempts are open and no endpoint has sent anything for this time, in
 * milliseconds.
 */
export const SILENCE_MS = 350;

/** A successful round of probes stands for this time, in milliseconds, while endpoints stay silent. */
export const PROVEN_MS = 1_000;

/** Successful rounds after which a path that was lost counts as open. */
export const ROUNDS_TO_REGAIN = 2;

/** Most rounds that a path takes to count as open that was lost repeatedly. */
export const MAX_ROUNDS_TO_REGAIN = 8;

/** A loss within this time after the end of the last one counts as repeated, in milliseconds. */
export const REPEATED_LOSS_MS = 30_000;
