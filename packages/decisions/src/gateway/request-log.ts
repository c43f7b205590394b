import { logEvents } from '@savorywind/model';
import type { GatewayContext } from './gateway-context.js';
import type { GatewayRecord } from './request-record.js';
import type { GatewayAttemptFailure, GatewayRefusalReason } from './types.js';

/** What went wrong at an endpoint. */
interface FailureNote {
  /** The endpoint that failed: the one that was asked, or a helper of it. */
  readonly failed: string;
  readonly failure: GatewayAttemptFailure | 'serverError';
  readonly detail: string;
}

/**
 * Writes where a request was given to endpoints. Called for requests that fail or are late: those
 * served in time, which are many, leave no line.
 */
export const logTrail = (context: GatewayContext, { trail }: GatewayRecord): void => {
  trail.splice(0).forEach(({ atMs, fields }) => {
    context.log(logEvents.requestPlaced, { ...fields, agoMs: Math.round(context.nowMs - atMs) });
  });
};

export const logFailure = (
  context: GatewayContext,
  record: GatewayRecord,
  note: FailureNote,
): void => {
  const { request, attempt } = record;
  logTrail(context, record);
  context.log(logEvents.attemptFailed, {
    request: request.callerAttempt,
    endpoint: attempt?.endpoint.id,
    ...note,
  });
};

/** The endpoint ran it and failed; its answer is passed on where the request can't be repeated. */
export const logServerError = (
  context: GatewayContext,
  record: GatewayRecord,
  status: number,
): void => {
  const failed = record.attempt?.endpoint.id ?? '';
  logFailure(context, record, { failed, failure: 'serverError', detail: `status ${status}` });
};

export const logRepeat = (
  context: GatewayContext,
  { request }: GatewayRecord,
  cause: string,
): void => context.log(logEvents.requestRepeated, { request: request.callerAttempt, cause });

export const logAbandoned = (context: GatewayContext, record: GatewayRecord): void => {
  const { request, attempt, arrivedAtMs, deadlineMs, readMs, headPassed, times, sends } = record;
  logTrail(context, record);
  context.log(logEvents.callerLeft, {
    request: request.callerAttempt,
    endpoint: attempt?.endpoint.id,
    waitedMs: Math.round(context.nowMs - arrivedAtMs),
    limitMs: Math.round(deadlineMs - arrivedAtMs),
    promptReadMs: Math.round(readMs),
    hasHead: headPassed,
    longestGapMs: Math.round(times.longestGapMs),
    sends,
  });
};

export const logBrokenOff = (
  context: GatewayContext,
  record: GatewayRecord,
  reason: GatewayRefusalReason,
): void => {
  logTrail(context, record);
  const { callerAttempt } = record.request;
  context.log(logEvents.requestBrokenOff, { request: callerAttempt, reason });
};

export const logRefusal = (
  context: GatewayContext,
  record: GatewayRecord,
  reason: GatewayRefusalReason,
): void => {
  const { request, arrivedAtMs, deadlineMs, readMs, sends, runs } = record;
  logTrail(context, record);
  context.log(logEvents.requestTurnedAway, {
    request: request.callerAttempt,
    reason,
    waitedMs: Math.round(context.nowMs - arrivedAtMs),
    // The time that the caller waits, or its route gives it.
    limitMs: Math.round(deadlineMs - arrivedAtMs),
    promptReadMs: Math.round(readMs),
    sends,
    runs,
  });
};
