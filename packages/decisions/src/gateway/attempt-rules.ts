import type { GatewayEndpoint, MonotonicMs, NetworkAddress } from '@savorywind/model';
import { MAX_HELPERS, MIN_ATTEMPT_MS } from './consts.js';
import { estimateMinFirstEventMs } from './placement/placement-policy.js';
import type { EndpointAttempt, GatewayRecord } from './request-record.js';
import type { GatewayAttemptFailure, GatewayResponseHead } from './types.js';

/**
 * Attempts permitted beyond the route's limit because endpoints rejected the request. Also the
 * number of unsent attempts, counted separately, that are retried.
 */
export const MAX_EXTRA_ATTEMPTS = 3;

/**
 * Attempts of a request that can't be put into bytes after the first one. If another endpoint can't get it
 * either, the request is the cause.
 */
export const MAX_UNSENDABLE_RETRIES = 1;

/** Failures after which it is certain that no byte of the request left this process. */
export const UNSENT_FAILURES: ReadonlySet<GatewayAttemptFailure> = new Set([
  'notSent',
  'unsendable',
  'noResources',
  'withdrawn',
]);

/** Failures that say nothing of the endpoint. */
export const BLAMELESS_FAILURES: ReadonlySet<GatewayAttemptFailure> = new Set([
  'unsendable',
  'noResources',
  'withdrawn',
]);

/** Failures that an interrupted network path to the endpoint may have caused. */
export const CONNECTION_FAILURES: ReadonlySet<GatewayAttemptFailure> = new Set([
  'notSent',
  'broken',
]);

/**
 * Statuses that tell the caller that the request was not executed. They are not forwarded for
 * requests that must not run twice, because the endpoint may have executed them.
 */
export const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Statuses from this one on are errors of the server (RFC 9110). */
export const FIRST_SERVER_ERROR = 500;

/**
 * Fraction of the target latency for which a request waits in all for endpoints that have named a time to
 * come back; its caller is told the time instead.
 */
const CLOSED_WAIT_FRACTION = 0.125;

/** Whether a request may be sent to an endpoint once more. */
export const mayRetry = ({ route, runs, sends, unsent, isContinuable }: GatewayRecord): boolean =>
  isContinuable &&
  runs < route.maxAttempts &&
  sends - unsent < route.maxAttempts + MAX_EXTRA_ATTEMPTS;

/** Estimates the shortest useful time of an attempt up to its first event, in milliseconds. */
export const estimateLeastWaitMs = (record: GatewayRecord): number =>
  Math.max(MIN_ATTEMPT_MS, estimateMinFirstEventMs(record, MAX_HELPERS + 1));

/** Releases the memory that is reserved for a request. */
export const releaseReservations = (record: GatewayRecord): void => {
  record.reservations?.release();
  record.reservations = undefined;
};

/**
 * Finds the endpoint that failed an attempt: the helper that the response names, else the endpoint.
 */
export const findFailedEndpoint = (
  { endpoint, helpers }: EndpointAttempt,
  atFault: NetworkAddress | undefined,
): GatewayEndpoint => {
  const named = helpers.find(
    ({ address }) => address.host === atFault?.host && address.port === atFault.port,
  );
  return named ?? endpoint;
};

/**
 * Whether a request waits for endpoints that have named a time to come back. A stream that has begun can't
 * be refused any more.
 */
export const mayWaitForOpening = (
  { hasForwardedHead, arrivedAtMs, route }: GatewayRecord,
  openingMs: MonotonicMs,
  latestMs: MonotonicMs,
): boolean =>
  hasForwardedHead
    ? openingMs < latestMs
    : openingMs <= arrivedAtMs + CLOSED_WAIT_FRACTION * route.targetLatencyMs;

/** Whether a status means success (RFC 9110, 2xx). */
export const isSuccess = (status: number): boolean => status >= 200 && status < 300;

/**
 * Whether a response may be forwarded. Once the caller has a part of a response, only a stream may
 * follow: the status and the end of any other response would be taken for those of the first one.
 */
export const isForwardable = (
  { hasForwardedHead }: GatewayRecord,
  { status, hasReceipt, content }: GatewayResponseHead,
): boolean => (hasReceipt || !isSuccess(status)) && (!hasForwardedHead || content === 'events');
