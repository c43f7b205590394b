import { FIRST_BACKOFF_MS, LONGEST_BACKOFF_MS } from './consts.js';

/**
 * Pause before a retry: doubles with each failure, and half of it is random, so that those who
 * failed together don't come back together.
 *
 * @param failures failures so far, from 1
 * @param random uniform number from 0 to 1
 * @returns milliseconds
 * @example
 * estimateBackoffMs(1, 0.5); // 37.5
 */
export const estimateBackoffMs = (
  failures: number,
  random: number,
  longestMs: number = LONGEST_BACKOFF_MS,
): number => {
  const fullMs = Math.min(longestMs, FIRST_BACKOFF_MS * 2 ** (failures - 1));
  return (fullMs * (1 + random)) / 2;
};
