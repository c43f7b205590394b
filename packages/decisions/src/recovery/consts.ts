/** Mean interval between two sweeps, in milliseconds. */
export const SWEEP_INTERVAL_MS = 5_000;

/** The interval varies randomly by this fraction, so that sweeps are spread over time. */
export const SWEEP_JITTER_FRACTION = 0.25;

/**
 * Bandwidth limit for the stream list of one engine, in bytes/s; long lists are read less often.
 */
export const STREAM_LIST_BYTES_PER_S = 150;

/** Assumed size of one entry of the stream list, in bytes. */
export const STREAM_ENTRY_BYTES = 100;

/** Time after its deadline that a stream's owner has to end the stream, in milliseconds. */
export const DEADLINE_TOLERANCE_MS = 2_000;

/** Time without a reader after which the stream of an unreachable owner is released, in ms. */
export const UNREACHABLE_OWNER_TIMEOUT_MS = 10_000;

/**
 * Time without a reader after which any stream is released, in milliseconds; longer than owners
 * take to resume a stream.
 */
export const NO_READER_TIMEOUT_MS = 30_000;
