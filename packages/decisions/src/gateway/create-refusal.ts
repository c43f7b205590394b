import type { GatewayRecord } from './request-record.js';
import type { GatewayRefusal, GatewayRefusalReason } from './types.js';

/**
 * Shortest retry-after time of refusals for other reasons than lack of capacity; jitter adds up to
 * the same time again.
 */
const RETRY_AFTER_MS = 250;

/**
 * Shortest retry-after time of refusals for lack of capacity, and of timeouts without any run;
 * some streams end within this time and free capacity. Jitter adds up to the same time again.
 */
const CAPACITY_RETRY_AFTER_MS = 1_000;

/**
 * Creates the final response of a request that fails. It has a retry-after time only if the request
 * certainly has not run.
 *
 * @param jitter random number from 0 to 1 that spreads the callers' retries
 */
export const createRefusal = (
  record: GatewayRecord,
  reason: GatewayRefusalReason,
  jitter: number,
): GatewayRefusal => {
  if (record.runs > 0) {
    return { reason: reason === 'timeout' ? 'timeout' : 'broken', retryAfterMs: undefined };
  }
  const isFull = reason === 'noRoom' || reason === 'timeout';
  const retryAfterMs = (isFull ? CAPACITY_RETRY_AFTER_MS : RETRY_AFTER_MS) * (1 + jitter);
  return { reason: isFull ? 'noRoom' : reason, retryAfterMs };
};
