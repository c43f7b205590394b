import type { GatewayEvent } from '@savorywind/decisions';
import type { CallerExchange } from '../callers/caller-exchange.js';
import type { AttemptStart, GatewayWire, ResponseMetadata } from '../types.js';
import { findMismatch, type AttemptTarget, type ResponseReading } from './attempt-target.js';
import type { ConnectionPools } from './connection-pools.js';
import { listNotices } from './list-notices.js';

export interface EndpointTargetOptions {
  readonly start: AttemptStart;
  readonly exchange: CallerExchange;
  readonly pools: ConnectionPools;
  readonly wire: GatewayWire;
}

/** A response of another endpoint at the same address says nothing of this one. */
const listEndpointNotices = (
  { attemptId, endpoint }: AttemptStart,
  { outcome, requestLimit, notice }: ResponseMetadata,
): GatewayEvent[] => {
  if (outcome === 'otherEndpoint') return [];
  return [
    { kind: 'attempt.limitReported', attemptId, limit: requestLimit },
    ...listNotices(endpoint, notice),
  ];
};

/**
 * Creates the target of an attempt that is sent to an endpoint.
 *
 * @example
 * new OutgoingAttempt({ start, target: createEndpointTarget({ start, exchange, pools, wire }), ... });
 */
export const createEndpointTarget = ({
  start,
  exchange,
  pools,
  wire,
}: EndpointTargetOptions): AttemptTarget => ({
  address: start.endpoint.address,
  agent: pools.find(start.endpoint.id, start.connection),
  headers: [
    ...exchange.listForwardedHeaders(
      (name) => wire.isForwarded(name),
      start.lastEventId !== undefined,
    ),
    ...wire.buildAttemptHeaders(start),
  ],
  readResponse: (response, isReused): ResponseReading => {
    const status = response.statusCode ?? 0;
    const metadata = wire.readResponse(status, response.headers);
    const { callerAttempt, outcome, atFault } = metadata;
    const expected = exchange.metadata.callerAttempt;
    const mismatch = findMismatch(response, callerAttempt, expected);
    if (mismatch !== undefined) return { kind: 'mismatch', detail: mismatch };
    // It may be late and belong to an earlier request, while the endpoint runs this one. The answer to a
    // request without an id can't name it; a rejection then proves nothing.
    const isUnnamed = callerAttempt === undefined && isReused;
    if (isUnnamed && (expected !== undefined || outcome !== 'answered'))
      return { kind: 'mismatch', detail: 'response on a reused connection names no request' };
    const notices = listEndpointNotices(start, metadata);
    if (outcome === 'answered') return { kind: 'answer', metadata, notices };
    return { kind: 'rejection', failure: outcome, detail: `status ${status}`, notices, atFault };
  },
});
