import { BACK_OFF_BASE_MS, BACK_OFF_LIMIT_MS } from './consts.js';

/**
 * Pause before a connection is tried again, with full jitter.
 *
 * @example
 * estimateBackOffMs(0, 0.5); // 100
 *
 * @param attempts attempts that failed before this one
 * @param random uniform from 0 to 1
 * @returns milliseconds
 */
export const estimateBackOffMs = (attempts: number, random: number): number =>
  Math.min(BACK_OFF_LIMIT_MS, BACK_OFF_BASE_MS * 2 ** attempts) * random;
