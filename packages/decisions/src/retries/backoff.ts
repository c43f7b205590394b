import { FIRST_BACKOFF_MS, MAX_BACKOFF_MS } from './consts.js';

/**
 * Estimates the backoff before a retry. It doubles with each failure up to a limit, and half of it
 * is random, so that clients that failed at the same time do not retry at the same time.
 *
 * @param failures number of failures so far, from 1
 * @param random uniform random number from 0 to 1
 * @returns milliseconds
 * @example
 * estimateBackoffMs(1, 0.5); // 37.5
 */
export const estimateBackoffMs = (
  failures: number,
  random: number,
  maxMs: number = MAX_BACKOFF_MS,
): number => {
  const fullMs = Math.min(maxMs, FIRST_BACKOFF_MS * 2 ** (failures - 1));
  return (fullMs * (1 + random)) / 2;
};
