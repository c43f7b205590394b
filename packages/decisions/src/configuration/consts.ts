/** Shortest and longest interval between two reads of the head row, in milliseconds. */
export const MIN_POLL_INTERVAL_MS = 1_500;
export const MAX_POLL_INTERVAL_MS = 3_000;

/** Timeout of one call to the platform, in milliseconds. */
export const PLATFORM_TIMEOUT_MS = 2_500;

/** Shortest and longest delay before a failed read or commit is retried, in milliseconds. */
export const MIN_RETRY_DELAY_MS = 250;
export const MAX_RETRY_DELAY_MS = 750;

/** Time since the platform last confirmed the configuration after which it is stale, in ms. */
export const STALE_AFTER_MS = 10_000;

/** Time to wait for a higher version from peers at start while the store fails, in milliseconds. */
export const PEER_SYNC_WAIT_MS = 500;

/** Time after which an unanswered request for a version may be sent again, in milliseconds. */
export const PEER_REQUEST_TIMEOUT_MS = 1_000;

/** Changes that one entry VM commits concurrently. */
export const MAX_CHANGES_IN_PROGRESS = 64;

/** Time within which a change has to be committed, in milliseconds; after it the change is refused. */
export const CHANGE_TIMEOUT_MS = 15_000;

/** Largest number of lines in the summary of a history row. */
export const MAX_SUMMARY_LINES = 32;

/** Largest number of versions that a commit searches backwards for its change id. */
export const MAX_VERSIONS_SEARCHED = 256;

/** Largest number of versions that one read of the history returns. */
export const MAX_HISTORY_LENGTH = 200;

/** Number of versions that are kept to compute differences from. */
export const MAX_RECENT_VERSIONS = 4;
