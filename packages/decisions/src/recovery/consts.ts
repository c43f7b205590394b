/** Shortest pause between two sweeps of an engine's streams, in milliseconds. */
export const SWEEP_MS = 5_000;

/** Pauses vary by this share, so that sweeps spread. */
export const SWEEP_JITTER_SHARE = 0.25;

/** Bytes a second that reading one engine's stream list may take; a longer list is read less often. */
export const STREAM_LIST_BYTES_PER_S = 150;

/** Size of one stream in the list, in bytes. */
export const STREAM_ENTRY_BYTES = 100;

/** What a stream may be late by, for the time that its owner needs to end it, in milliseconds. */
export const DEADLINE_TOLERANCE_MS = 2_000;

/** A stream without a reader whose owner is not reachable is released after so long. */
export const UNREACHABLE_OWNER_MS = 10_000;

/** A stream without a reader is released after so long, whoever owns it: owners resume earlier. */
export const WITHOUT_READER_MS = 30_000;
