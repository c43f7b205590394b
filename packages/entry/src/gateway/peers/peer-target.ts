import type { IncomingMessage } from 'node:http';
import type { GatewayEvent, PeerRefusal } from '@savorywind/decisions';
import type { CallerExchange } from '../callers/caller-exchange.js';
import {
  findMismatch,
  type AttemptTarget,
  type ResponseReading,
} from '../endpoints/attempt-target.js';
import type { ConnectionPools } from '../endpoints/connection-pools.js';
import { listNotices } from '../endpoints/list-notices.js';
import type { AttemptForward, GatewayWire, ResponseMetadata } from '../types.js';
import {
  decodeRefused,
  decodeServed,
  encodeHeader,
  forwardingHeaders,
  type ServedHeader,
} from './forwarding-headers.js';

export interface PeerTargetOptions {
  readonly forward: AttemptForward;
  readonly exchange: CallerExchange;
  readonly pools: ConnectionPools;
  readonly wire: GatewayWire;
}

/** A peer that does not read the request says neither who served it nor why it did not. */
const NOT_READ: PeerRefusal = {
  reason: 'notReady',
  retryAfterMs: undefined,
  hasRun: false,
  hasArrived: false,
  endpoint: undefined,
};

const buildHeaders = ({ forward, exchange }: PeerTargetOptions): string[] => {
  const { attemptId, forwardedFrom, lastEventId } = forward;
  const headers = exchange.listForwardedHeaders(() => true, lastEventId !== undefined);
  if (lastEventId !== undefined) headers.push('Last-Event-Id', lastEventId);
  const forwarded = encodeHeader({ attempt: attemptId, ...forwardedFrom });
  return [...headers, forwardingHeaders.forwarded, forwarded];
};

/** An endpoint's time to come back holds for the peer, which it was told; its leaving holds for all. */
const listServedNotices = (
  { attemptId }: AttemptForward,
  { id, startedAtMs }: ServedHeader,
  { requestLimit, notice }: ResponseMetadata,
): GatewayEvent[] => [
  { kind: 'attempt.limitReported', attemptId, limit: requestLimit, endpoint: { id, startedAtMs } },
  ...listNotices({ id, startedAtMs }, { ...notice, retryAfterMs: 'none' }),
];

const readServed = (
  { forward, exchange, wire }: PeerTargetOptions,
  response: IncomingMessage,
): ResponseReading => {
  const served = decodeServed(response.headers[forwardingHeaders.served]);
  if (served.err) return { kind: 'mismatch', detail: served.val };
  const metadata = wire.readResponse(response.statusCode ?? 0, response.headers);
  const mismatch =
    findMismatch(response, served.val.attempt, forward.attemptId) ??
    findMismatch(response, metadata.callerAttempt, exchange.metadata.callerAttempt);
  if (mismatch !== undefined) return { kind: 'mismatch', detail: mismatch };
  return {
    kind: 'answer',
    metadata: { ...metadata, servedBy: served.val.id },
    notices: listServedNotices(forward, served.val, metadata),
  };
};

const readRefused = (
  { attemptId }: AttemptForward,
  { headers, statusCode }: IncomingMessage,
): ResponseReading => {
  const refused = decodeRefused(headers[forwardingHeaders.refused]);
  if (refused.err) return { kind: 'mismatch', detail: refused.val };
  const { attempt, reason, retryAfterMs, hasRun, hasArrived, endpoint } = refused.val;
  if (attempt !== attemptId)
    return { kind: 'mismatch', detail: 'response belongs to another request' };
  return {
    kind: 'rejection',
    failure: hasRun ? 'broken' : 'rejected',
    detail: `status ${statusCode}`,
    notices: [],
    refusal: { reason, retryAfterMs, hasRun, hasArrived, endpoint },
  };
};

/**
 * Creates the target of an attempt that is forwarded to a peer. Each response names the attempt, so that
 * none can be taken for that of another one.
 *
 * @example
 * new OutgoingAttempt({ start: forward, target: createPeerTarget({ forward, exchange, pools, wire }), ... });
 */
export const createPeerTarget = (options: PeerTargetOptions): AttemptTarget => {
  const { forward, pools } = options;
  const { peer, connection } = forward;
  return {
    address: peer.address,
    agent: pools.find(peer.id, connection),
    headers: buildHeaders(options),
    readResponse: (response, isReused) => {
      const { headers, statusCode } = response;
      if (headers[forwardingHeaders.served] !== undefined) return readServed(options, response);
      if (headers[forwardingHeaders.refused] !== undefined) return readRefused(forward, response);
      const detail = `status ${statusCode} of a peer that did not read the request`;
      if (isReused) return { kind: 'mismatch', detail };
      return { kind: 'rejection', failure: 'rejected', detail, notices: [], refusal: NOT_READ };
    },
  };
};
