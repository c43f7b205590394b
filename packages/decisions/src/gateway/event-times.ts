import { logEvents, type MonotonicMs } from '@savorywind/model';
import type { GatewayContext } from './gateway-context.js';
import { logPlacements } from './request-log.js';
import { describeTarget, type EventTimes, type GatewayRecord } from './request-record.js';

/** Records that a stream's event was forwarded to the caller. */
export const recordEvent = (times: EventTimes, nowMs: MonotonicMs): void => {
  times.firstAtMs ??= nowMs;
  times.longestGapMs = Math.max(times.longestGapMs, nowMs - (times.lastAtMs ?? nowMs));
  times.lastAtMs = nowMs;
};

/**
 * Logs a response that exceeds its route's target latency or permitted pause, with the estimates
 * behind its placement.
 *
 * @returns whether the response was late
 */
export const logIfLate = (context: GatewayContext, record: GatewayRecord): boolean => {
  const { arrivedAtMs, route, times, placementFields, request, prefillMs, attempt } = record;
  const tookMs = (times.firstAtMs ?? context.nowMs) - arrivedAtMs;
  const hasLongGap = times.longestGapMs > (route.maxEventGapMs ?? Number.POSITIVE_INFINITY);
  if (tookMs <= route.targetLatencyMs && !hasLongGap) return false;
  logPlacements(context, record);
  context.log(logEvents.answerLate, {
    request: request.callerAttempt,
    endpoint: attempt === undefined ? undefined : describeTarget(attempt),
    tookMs: Math.round(tookMs),
    longestGapMs: Math.round(times.longestGapMs),
    promptReadMs: Math.round(prefillMs),
    ...placementFields,
  });
  return true;
};
