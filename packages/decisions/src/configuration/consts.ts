/** Shortest and longest pause between two reads of the head row, in milliseconds. */
export const MIN_POLL_INTERVAL_MS = 1_500;
export const MAX_POLL_INTERVAL_MS = 3_000;

/** Longest wait for one reply of the platform, in milliseconds. */
export const PLATFORM_TIMEOUT_MS = 2_500;

/** Shortest and longest pause before a read that failed is made again, in milliseconds. */
export const MIN_RETRY_DELAY_MS = 250;
export const MAX_RETRY_DELAY_MS = 750;

/** Age of the last confirmation by the platform from which on an entry VM reports it, in ms. */
export const STALE_AFTER_MS = 10_000;

/** How long an entry VM without a configuration goes on asking peers while the store is silent. */
export const PEER_SYNC_WAIT_MS = 500;

/** Pause after which an ask to a peer that was not answered may be made again, in milliseconds. */
export const PEER_REQUEST_TIMEOUT_MS = 1_000;

/** Changes that one entry VM commits at the same time. */
export const MAX_CHANGES_IN_PROGRESS = 64;

/** Time after which an entry VM gives a change up, in milliseconds. */
export const CHANGE_TIMEOUT_MS = 15_000;

/** Lines of a change's summary that the history keeps. */
export const MAX_SUMMARY_LINES = 32;

/** Versions that a commit walks back at most to find a change id. */
export const MAX_VERSIONS_SEARCHED = 256;

/** Versions that one reading of the history gives at most. */
export const MAX_HISTORY_LENGTH = 200;

/** Versions kept to work out differences from. */
export const MAX_RECENT_VERSIONS = 4;
