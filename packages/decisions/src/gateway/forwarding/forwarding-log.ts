import { logEvents, type EntryVmId } from '@savorywind/model';
import type { GatewayContext } from '../gateway-context.js';
import type { GatewayRecord } from '../request-record.js';
import type { GatewayAttemptFailure } from '../types.js';
import type { PeerRefusal } from './types.js';

interface ForwardingFailure {
  readonly peer: EntryVmId;
  readonly failure: GatewayAttemptFailure;
  readonly detail: string;
  readonly refusal: PeerRefusal | undefined;
}

/** Logs that a request is forwarded to a peer; the peer logs the same id. */
export const logForwarded = (
  context: GatewayContext,
  { request, arrivedAtMs, unsent, runs, failedEndpoints }: GatewayRecord,
  peer: EntryVmId,
): void =>
  context.log(logEvents.requestForwarded, {
    request: request.callerAttempt,
    peer,
    waitedMs: Math.round(context.nowMs - arrivedAtMs),
    unsent,
    runs,
    failed: [...failedEndpoints].join(' '),
  });

/** Logs that a peer did not serve a request that was forwarded to it. */
export const logForwardingFailed = (
  context: GatewayContext,
  { request }: GatewayRecord,
  { peer, failure, detail, refusal }: ForwardingFailure,
): void =>
  context.log(logEvents.forwardingFailed, {
    request: request.callerAttempt,
    peer,
    failure,
    detail,
    reason: refusal?.reason,
    hasRun: refusal?.hasRun,
    endpoint: refusal?.endpoint,
  });

/** Logs that a request of a peer was received. */
export const logForwardedReceived = (
  context: GatewayContext,
  { request, forwardedFrom }: GatewayRecord,
): void =>
  context.log(logEvents.forwardedRequestReceived, {
    request: request.callerAttempt,
    peer: forwardedFrom?.by,
    elapsedMs: forwardedFrom?.elapsedMs,
    hasBegun: forwardedFrom?.hasBegun,
  });
