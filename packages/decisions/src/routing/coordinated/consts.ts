/** Interval at which entry VMs exchange usage reports and engine summaries, in milliseconds. */
export const ROUND_MS = 500;

/**
 * Added to the interval for each peer, in milliseconds, so that the number of messages that one
 * entry VM sends per second stays bounded.
 */
export const ROUND_PER_PEER_MS = 60;

/** Delay before an unanswered slot request is sent again, in milliseconds. */
export const SLOT_REQUEST_RETRY_MS = 2_000;

/** Time after which unconfirmed grants, queued requests and peer usage expire, in milliseconds. */
export const UNCONFIRMED_TTL_MS = 7_000;

/** Age from which an engine summary is ignored, in milliseconds. */
export const SUMMARY_TTL_MS = 5_000;

/** Prefill work of light requests that may wait at one engine, in milliseconds. */
export const MAX_LIGHT_BACKLOG_MS = 600;

/** Fraction of an engine's memory that grants to heavy requests leave free for light requests. */
export const LIGHT_MEMORY_FRACTION = 0.25;

/** Granted heavy prefill work below which the next heavy prompt is granted, in milliseconds. */
export const MAX_GRANTED_HEAVY_MS = 300;

/** Slot requests that may be queued for one engine. */
export const MAX_QUEUED_REQUESTS = 256;

/** Time without grants after an engine refused a stream for lack of memory, in milliseconds. */
export const REJECTION_BACKOFF_MS = 1_000;

/**
 * Admission control admits a request only if its estimated finish is within this fraction of its
 * time to the deadline; the rest allows for errors of the estimate.
 */
export const ADMISSION_FRACTION = 0.7;

/**
 * The same fraction for teams over their fair share. Refusing them earlier keeps their requests
 * from becoming urgent, and urgent requests are granted before those of other teams.
 */
export const OVER_SHARE_ADMISSION_FRACTION = 0.25;

/** Fraction of the credits that teams over their fair share may spend. */
export const OVER_SHARE_CREDIT_FRACTION = 0.4;

/**
 * Prefill speed while the engine also decodes, relative to an idle engine; used until a prefill of
 * the engine has been measured.
 */
export const INITIAL_PREFILL_RATE = 0.6;
