/** How often the head of the configuration is read, in milliseconds. */
export const CONFIGURATION_POLL_MS = 2_000;

/** Pause before a platform call that failed is made again, in milliseconds. */
export const PLATFORM_RETRY_MS = 500;
