import type { GatewayRecord } from './request-record.js';
import type { GatewayRefusal, GatewayRefusalReason } from './types.js';

/** When a caller whose request was rejected comes back, in milliseconds; spread by chance. */
const COME_BACK_MS = 250;

/** When a caller whose request found no room comes back: streams end within such a time. */
const ROOM_AGAIN_MS = 1_000;

/**
 * The final answer of a request that is given up. Only what certainly has not run is refused with
 * the time to come back.
 *
 * @param lot from 0 to 1, so that callers do not come back together
 */
export const createRefusal = (
  record: GatewayRecord,
  reason: GatewayRefusalReason,
  lot: number,
): GatewayRefusal => {
  if (record.runs > 0) {
    return { reason: reason === 'timeout' ? 'timeout' : 'broken', retryAfterMs: undefined };
  }
  const isFull = reason === 'noRoom' || reason === 'timeout';
  const retryAfterMs = (isFull ? ROOM_AGAIN_MS : COME_BACK_MS) * (1 + lot);
  return { reason: isFull ? 'noRoom' : reason, retryAfterMs };
};
