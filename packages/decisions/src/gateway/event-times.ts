import { logEvents, type MonotonicMs } from '@savorywind/model';
import type { GatewayContext } from './gateway-context.js';
import { logTrail } from './request-log.js';
import type { EventTimes, GatewayRecord } from './request-record.js';

export const recordEvent = (times: EventTimes, nowMs: MonotonicMs): void => {
  times.firstAtMs ??= nowMs;
  times.longestGapMs = Math.max(times.longestGapMs, nowMs - (times.lastAtMs ?? nowMs));
  times.lastAtMs = nowMs;
};

/**
 * Logs an answer that came later than its route aims at, with what its placement was based on.
 *
 * @returns whether it was late
 */
export const logIfLate = (context: GatewayContext, record: GatewayRecord): boolean => {
  const { arrivedAtMs, route, times, basis, request, readMs, attempt } = record;
  const tookMs = (times.firstAtMs ?? context.nowMs) - arrivedAtMs;
  const hasLongGap = times.longestGapMs > (route.maxEventGapMs ?? Number.POSITIVE_INFINITY);
  if (tookMs <= route.targetLatencyMs && !hasLongGap) return false;
  logTrail(context, record);
  context.log(logEvents.answerLate, {
    request: request.callerAttempt,
    endpoint: attempt?.endpoint.id,
    tookMs: Math.round(tookMs),
    longestGapMs: Math.round(times.longestGapMs),
    promptReadMs: Math.round(readMs),
    ...basis,
  });
  return true;
};
