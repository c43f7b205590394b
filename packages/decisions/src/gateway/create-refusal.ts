import type { GatewayRecord } from './request-record.js';
import type { GatewayRefusal, GatewayRefusalReason } from './types.js';

/**
 * Base of the retry-after time, in milliseconds, for refusals that are not for lack of capacity.
 */
const RETRY_AFTER_MS = 250;

/**
 * Base of the retry-after time for refusals for lack of capacity, in milliseconds: some streams end
 * within this time and free capacity.
 */
const CAPACITY_RETRY_AFTER_MS = 1_000;

/**
 * Creates the final response of a request that fails. Only a request that certainly has not run
 * gets a retry-after time.
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
