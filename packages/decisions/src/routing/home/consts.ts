/** How often usage and summaries are exchanged, in milliseconds. */
export const ROUND_MS = 500;

/** Added to the round for each peer, so that what a node sends a second stays bounded. */
export const ROUND_PER_PEER_MS = 60;

/** Pause before an ask that was not answered is sent again, in milliseconds. */
export const ASK_RETRY_MS = 2_000;

/** What is not confirmed within this time is dropped from an account, in milliseconds. */
export const CONFIRM_LIMIT_MS = 7_000;

/** Age at which a summary is no longer believed, in milliseconds. */
export const SUMMARY_LIMIT_MS = 5_000;

/** Light work that may wait at an engine, in milliseconds. */
export const LIGHT_BACKLOG_MS = 600;

/** Share of an engine's memory that single grants leave for light requests. */
export const LIGHT_MEMORY_SHARE = 0.25;

/** A next long prompt is granted when the one before has less than this left, in milliseconds. */
export const PIPELINE_MS = 300;

/** Asks that may wait for one engine. */
export const QUEUE_LIMIT = 256;

/** How long an engine that refused a stream for lack of memory gets no further grant. */
export const REJECTED_PAUSE_MS = 1_000;

/** Share of a request's time that admission counts on; the rest is for errors of the estimate. */
export const ADMISSION_SHARE = 0.7;

/**
 * The same for teams over their share: they are refused early, and so seldom become urgent and go
 * ahead of others.
 */
export const OVER_SHARE_ADMISSION = 0.25;

/** Part of the credits that teams over their share may spend. */
export const OVER_SHARE_CREDIT = 0.4;

/** Prefill speed beside decoding, relative to an idle engine, until it is measured. */
export const FIRST_RATE = 0.6;
