import type { MonotonicMs } from '@savorywind/model';
import type { GatewayRecord } from './request-record.js';
import type { GatewayRequest, RequestMeasured, RequestOutcome } from './types.js';

/** Builds the metrics record of a request that was refused before it was admitted. */
export const measureRefused = (
  { promptTokens }: GatewayRequest,
  outcome: RequestOutcome,
): RequestMeasured => ({
  team: 'none',
  route: 'none',
  promptTokens,
  outcome,
  queuedMs: undefined,
  firstEventMs: undefined,
  totalMs: 0,
});

/**
 * Builds the metrics record of a request that has ended.
 *
 * @example
 * measureRequest(record, 'served', context.nowMs);
 */
export const measureRequest = (
  record: GatewayRecord,
  outcome: RequestOutcome,
  nowMs: MonotonicMs,
): RequestMeasured => {
  const { arrivedAtMs, firstPlacedAtMs, times, request, route, team } = record;
  const { firstAtMs } = times;
  return {
    team: team?.name ?? 'none',
    route: route.name,
    promptTokens: request.promptTokens,
    outcome,
    queuedMs: firstPlacedAtMs === undefined ? undefined : firstPlacedAtMs - arrivedAtMs,
    firstEventMs: firstAtMs === undefined ? undefined : firstAtMs - arrivedAtMs,
    totalMs: nowMs - arrivedAtMs,
  };
};
