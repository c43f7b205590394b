import type {
  CallerWaitLimits,
  GatewayTeam,
  MonotonicMs,
  Route,
  RoutedService,
} from '@savorywind/model';
import { estimatePrefillMs } from './placement/engine-costs.js';
import type { GatewayRecord } from './request-record.js';
import type { GatewayRequest } from './types.js';

/** Route, service and team to which the current configuration resolves a request. */
export interface ResolvedRoute {
  readonly route: Route;
  readonly service: RoutedService;
  readonly team: GatewayTeam | undefined;
  /** Shortest permitted pause between events of any stream of the service, in milliseconds. */
  readonly tightestGapMs: number | undefined;
}

/**
 * Fraction of the service's shortest permitted pause that the prefill of a short prompt may take.
 */
const SHORT_PREFILL_GAP_FRACTION = 0.6;

/** Assumed wait of a caller that sends no timeout, in milliseconds. */
const DEFAULT_CALLER_WAIT_MS = 30_000;

const estimateEventWaitMs = (
  { kind, targetLatencyMs, maxEventGapMs }: Route,
  { minMs, targetMultiple, gapMultiple }: CallerWaitLimits,
): number => {
  if (kind !== 'streaming') return Number.POSITIVE_INFINITY;
  return Math.max(minMs, targetMultiple * targetLatencyMs, gapMultiple * (maxEventGapMs ?? 0));
};

/**
 * Creates the record of a request that has just arrived.
 *
 * @example
 * const record = createGatewayRecord(request, resolved, context.nowMs, contract.callerWait);
 */
export const createGatewayRecord = (
  request: GatewayRequest,
  { route, service, team, tightestGapMs }: ResolvedRoute,
  nowMs: MonotonicMs,
  callerWait: CallerWaitLimits,
): GatewayRecord => {
  const { forwardedFrom } = request;
  const waitMs = Math.min(request.waitsMs ?? DEFAULT_CALLER_WAIT_MS, route.timeoutMs);
  const arrivedAtMs = nowMs - (forwardedFrom?.elapsedMs ?? 0);
  const hasBegun = forwardedFrom?.hasBegun === true;
  const traits = service.engine;
  const prefillMs = traits === undefined ? 0 : estimatePrefillMs(traits, request.promptTokens);
  return {
    request,
    // The entry VM that forwards a request decides on its retries.
    route: forwardedFrom === undefined ? route : { ...route, maxAttempts: 1 },
    service,
    team,
    priority: team?.priority ?? route.priority,
    arrivedAtMs,
    deadlineMs: arrivedAtMs + waitMs,
    firstEventDeadlineMs:
      arrivedAtMs + (hasBegun ? waitMs : Math.min(waitMs, estimateEventWaitMs(route, callerWait))),
    prefillMs,
    memoryTokens: request.promptTokens + request.maxOutputTokens,
    isLong: prefillMs > SHORT_PREFILL_GAP_FRACTION * (tightestGapMs ?? Number.POSITIVE_INFINITY),
    deadlineTimer: undefined,
    reservations: undefined,
    attempt: undefined,
    firstPlacedAtMs: undefined,
    sends: 0,
    runs: 0,
    unsent: 0,
    unsendable: 0,
    unsendableAt: undefined,
    connectFailures: 0,
    attemptedEndpoints: new Set(),
    failedEndpoints: new Set(forwardedFrom?.failedEndpoints),
    forwardedFrom,
    forwards: 0,
    triedPeers: new Set(),
    refusedPeers: new Set(),
    peerRefusal: undefined,
    isStalled: false,
    hasLostEndpoint: false,
    hasForwardedHead: false,
    isContinuable: true,
    lastEventId: request.lastEventId,
    isSound: false,
    isTrial: false,
    times: { firstAtMs: undefined, lastAtMs: undefined, longestGapMs: 0 },
    placementFields: {},
    placements: [],
  };
};
