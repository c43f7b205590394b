import { BACKOFF_BASE_MS, BACKOFF_MAX_MS } from './consts.js';

/**
 * Draws the delay before the next connection attempt: exponential backoff with full jitter.
 *
 * @example
 * drawBackoffMs(0, 0.5); // 100
 *
 * @param attempts number of previous attempts since the last stable connection
 * @param random uniformly distributed from 0 to 1
 * @returns milliseconds
 */
export const drawBackoffMs = (attempts: number, random: number): number =>
  Math.min(BACKOFF_MAX_MS, BACKOFF_BASE_MS * 2 ** attempts) * random;
