import { logEvents } from '@savorywind/model';
import type { GatewayContext } from './gateway-context.js';
import { describeTarget, type GatewayAttempt, type GatewayRecord } from './request-record.js';
import type {
  CloseReason,
  GatewayAttemptFailure,
  GatewayRefusalReason,
  GatewayResponseHead,
} from './types.js';

/** Most parts of a prompt that one log line names. */
const MAX_LOGGED_PARTS = 8;

/** Log fields of a failed attempt. */
interface FailureFields {
  /** The endpoint that failed: the one that got the request, or one of its helpers. */
  readonly failed: string;
  readonly failure: GatewayAttemptFailure | 'serverError';
  readonly detail: string;
}

/**
 * Logs the placements of a request. Called only for requests that fail or are late, so that the
 * many requests that are served in time log nothing.
 */
export const logPlacements = (context: GatewayContext, { placements }: GatewayRecord): void => {
  placements.splice(0).forEach(({ atMs, fields }) => {
    context.log(logEvents.requestPlaced, { ...fields, agoMs: Math.round(context.nowMs - atMs) });
  });
};

/** Logs a failed attempt, after the placements of its request. */
export const logFailure = (
  context: GatewayContext,
  record: GatewayRecord,
  failureFields: FailureFields,
): void => {
  const { request, attempt, sends, times } = record;
  logPlacements(context, record);
  context.log(logEvents.attemptFailed, {
    request: request.callerAttempt,
    endpoint: attempt === undefined ? undefined : describeTarget(attempt),
    ...failureFields,
    sends,
    hasEvents: times.firstAtMs !== undefined,
    fingerprint: request.fingerprint,
    parts: request.sharedParts.slice(0, MAX_LOGGED_PARTS).join(' '),
  });
};

/**
 * Logs a response with a server error status; it is forwarded if the request can't be retried.
 */
export const logServerError = (
  context: GatewayContext,
  record: GatewayRecord,
  status: number,
): void => {
  const failed = record.attempt === undefined ? '' : describeTarget(record.attempt);
  logFailure(context, record, { failed, failure: 'serverError', detail: `status ${status}` });
};

/** Logs a response that can't be forwarded. */
export const logUnforwardable = (
  context: GatewayContext,
  record: GatewayRecord,
  { status, content, hasReceipt }: GatewayResponseHead,
): void => {
  const failed = record.attempt === undefined ? '' : describeTarget(record.attempt);
  const receipt = hasReceipt ? '' : ', no receipt';
  const detail = `status ${status}, content ${content}${receipt}, can't be forwarded`;
  logFailure(context, record, { failed, failure: 'invalid', detail });
};

/**
 * Logs that a request is retried.
 *
 * @param cause failure of the previous attempt; `silent` if its endpoint stalled
 */
export const logRetry = (
  context: GatewayContext,
  { request }: GatewayRecord,
  cause: string,
): void => context.log(logEvents.requestRepeated, { request: request.callerAttempt, cause });

/**
 * Logs that the connection of a caller closed before its response was complete.
 *
 * @param closedFor why this process has closed it; undefined if the caller has left
 */
export const logAbandoned = (
  context: GatewayContext,
  record: GatewayRecord,
  closedFor: CloseReason | undefined,
): void => {
  const { request, attempt, arrivedAtMs, deadlineMs, prefillMs, hasForwardedHead, times, sends } =
    record;
  logPlacements(context, record);
  const event =
    closedFor === undefined ? logEvents.callerLeft : logEvents.connectionClosedUnanswered;
  context.log(event, {
    request: request.callerAttempt,
    reason: closedFor,
    endpoint: attempt === undefined ? undefined : describeTarget(attempt),
    waitedMs: Math.round(context.nowMs - arrivedAtMs),
    limitMs: Math.round(deadlineMs - arrivedAtMs),
    promptReadMs: Math.round(prefillMs),
    hasHead: hasForwardedHead,
    longestGapMs: Math.round(times.longestGapMs),
    sends,
  });
};

/** Logs a response that ended after its head was forwarded but before it was complete. */
export const logBrokenOff = (
  context: GatewayContext,
  record: GatewayRecord,
  reason: GatewayRefusalReason,
): void => {
  logPlacements(context, record);
  const { callerAttempt } = record.request;
  context.log(logEvents.requestBrokenOff, { request: callerAttempt, reason });
};

/**
 * Logs that a response whose beginning the caller has is continued with the response of another
 * endpoint.
 */
export const logContinued = (
  context: GatewayContext,
  { request, lastEventId }: GatewayRecord,
  attempt: GatewayAttempt,
): void =>
  context.log(logEvents.responseContinued, {
    request: request.callerAttempt,
    endpoint: describeTarget(attempt),
    lastEventId,
  });

/** Logs a complete response without a length; it ended with its connection. */
export const logConnectionEnd = (
  context: GatewayContext,
  { request, attempt }: GatewayRecord,
): void => {
  if (attempt?.head?.isDelimited !== false) return;
  context.log(logEvents.responseEndedByClose, {
    request: request.callerAttempt,
    endpoint: describeTarget(attempt),
  });
};

/** Logs the refusal of a request that was admitted. */
export const logRefusal = (
  context: GatewayContext,
  record: GatewayRecord,
  reason: GatewayRefusalReason,
): void => {
  const { request, arrivedAtMs, deadlineMs, prefillMs, sends, runs } = record;
  logPlacements(context, record);
  context.log(logEvents.requestTurnedAway, {
    request: request.callerAttempt,
    reason,
    waitedMs: Math.round(context.nowMs - arrivedAtMs),
    // The caller's timeout or that of the route, whichever is shorter.
    limitMs: Math.round(deadlineMs - arrivedAtMs),
    promptReadMs: Math.round(prefillMs),
    sends,
    runs,
  });
};

/**
 * Logs how many requests were open, and in which state, when the time of a stopping process ended.
 * Each of them is logged on its own as it is ended.
 */
export const logOpenAtStop = (context: GatewayContext, records: readonly GatewayRecord[]): void => {
  const streaming = records.filter(({ hasForwardedHead }) => hasForwardedHead).length;
  const unplaced = records.filter(({ attempt }) => attempt === undefined).length;
  context.log(logEvents.requestsOpenAtStop, { open: records.length, unplaced, streaming });
};
