import type { GatewayRecord } from './request-record.js';
import type { GatewayRefusal, GatewayRefusalReason } from './types.js';

/**
 * Shortest retry-after time of refusals for other reasons than lack of capacity; jitter adds up to
 * the same time again.
 */
const RETRY_AFTER_MS = 250;

/**
 * Shortest retry-after time of refusals for lack of capacity, also where all failure domains of a service are
 * evacuated, and of timeouts without any run; some streams end within this time and free capacity. Jitter
 * adds up to the same time again.
 */
const CAPACITY_RETRY_AFTER_MS = 1_000;

/** Part of the time for which all endpoints are closed over which callers are spread. */
const CLOSED_SPREAD_FRACTION = 0.1;

export interface RetryAfterOptions {
  /** Time for which all endpoints of the service are closed; 0 if one may get a request now. */
  readonly closedForMs: number;
  /** Whether all endpoints of the service are in evacuated failure domains. */
  readonly isEvacuated: boolean;
  /** Random number from 0 to 1 that spreads the callers' retries. */
  readonly jitter: number;
}

/** Describes what became of a request that a peer has forwarded. */
const describeOutcome = ({
  forwardedFrom,
  runs,
  sends,
  unsent,
  attemptedEndpoints,
}: GatewayRecord): Pick<GatewayRefusal, 'forwarding'> =>
  forwardedFrom === undefined
    ? {}
    : {
        forwarding: {
          hasRun: runs > 0,
          hasArrived: sends > unsent,
          endpoint: [...attemptedEndpoints].at(-1),
        },
      };

/**
 * Creates the final response of a request that fails. It has a retry-after time only if the request
 * certainly has not run.
 */
export const createRefusal = (
  record: GatewayRecord,
  reason: GatewayRefusalReason,
  { closedForMs, isEvacuated, jitter }: RetryAfterOptions,
): GatewayRefusal => {
  const forwarding = describeOutcome(record);
  if (record.runs > 0) {
    return {
      reason: reason === 'timeout' ? 'timeout' : 'broken',
      retryAfterMs: undefined,
      ...forwarding,
    };
  }
  // The peer knows better than this entry VM when to come back.
  if (record.peerRefusal !== undefined) {
    const { reason: peerReason, retryAfterMs } = record.peerRefusal;
    return { reason: peerReason, retryAfterMs };
  }
  // It would be refused again.
  if (reason === 'harmful') return { reason, retryAfterMs: undefined, ...forwarding };
  const isFull = reason === 'noRoom' || reason === 'timeout';
  const baseMs = isFull || isEvacuated ? CAPACITY_RETRY_AFTER_MS : RETRY_AFTER_MS;
  const spreadMs = Math.max(baseMs, CLOSED_SPREAD_FRACTION * closedForMs);
  const retryAfterMs = Math.max(baseMs, closedForMs) + spreadMs * jitter;
  return { reason: isFull ? 'noRoom' : reason, retryAfterMs, ...forwarding };
};
