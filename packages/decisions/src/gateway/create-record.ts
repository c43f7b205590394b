import type {
  CallerPatience,
  GatewayTeam,
  MonotonicMs,
  Route,
  RoutedService,
} from '@savorywind/model';
import { estimateReadMs } from './engine-costs.js';
import type { GatewayRecord } from './request-record.js';
import type { GatewayRequest } from './types.js';

/** What a request was resolved to in the configuration in force. */
export interface ResolvedRoute {
  readonly route: Route;
  readonly service: RoutedService;
  readonly team: GatewayTeam | undefined;
  /** Shortest permitted pause of streams of the service, in milliseconds. */
  readonly tightestGapMs: number | undefined;
}

/** Part of the tightest pause that reading a short prompt may take. */
const SHORT_SHARE_OF_GAP = 0.6;

/** Longest time that a caller waits where it does not say how long, in milliseconds. */
const DEFAULT_WAIT_MS = 30_000;

const estimatePatienceMs = (
  { kind, targetLatencyMs, maxEventGapMs }: Route,
  { leastMs, perTarget, perGap }: CallerPatience,
): number => {
  if (kind !== 'streaming') return Number.POSITIVE_INFINITY;
  return Math.max(leastMs, perTarget * targetLatencyMs, perGap * (maxEventGapMs ?? 0));
};

/**
 * A request that has just arrived.
 *
 * @example
 * const record = createGatewayRecord(request, resolved, context.nowMs, contract.patience);
 */
export const createGatewayRecord = (
  request: GatewayRequest,
  { route, service, team, tightestGapMs }: ResolvedRoute,
  nowMs: MonotonicMs,
  patience: CallerPatience,
): GatewayRecord => {
  const waitMs = Math.min(request.waitsMs ?? DEFAULT_WAIT_MS, route.timeoutMs);
  const traits = service.engine;
  const readMs = traits === undefined ? 0 : estimateReadMs(traits, request.promptTokens);
  return {
    request,
    route,
    service,
    team,
    priority: team?.priority ?? route.priority,
    arrivedAtMs: nowMs,
    deadlineMs: nowMs + waitMs,
    patienceEndMs: nowMs + Math.min(waitMs, estimatePatienceMs(route, patience)),
    readMs,
    memoryTokens: request.promptTokens + request.maxOutputTokens,
    isLong: readMs > SHORT_SHARE_OF_GAP * (tightestGapMs ?? Number.POSITIVE_INFINITY),
    deadlineTimer: undefined,
    reservations: undefined,
    attempt: undefined,
    firstPlacedAtMs: undefined,
    sends: 0,
    runs: 0,
    unsent: 0,
    avoided: new Set(),
    lostEndpoint: false,
    headPassed: false,
    lastEventId: request.lastEventId,
    times: { firstAtMs: undefined, lastAtMs: undefined, longestGapMs: 0 },
    basis: {},
    trail: [],
  };
};
