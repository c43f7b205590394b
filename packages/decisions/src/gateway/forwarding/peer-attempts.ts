import type { EntryVmId } from '@savorywind/model';
import { MAX_UNSENDABLE_RETRIES } from '../attempt-rules.js';
import type { FleetRetryBudget } from '../fleet-retry-budget.js';
import type { GatewayAttempts } from '../gateway-attempts.js';
import type { GatewayContext } from '../gateway-context.js';
import type { EndpointPaths } from '../path/endpoint-paths.js';
import type { PermittedPlacement } from '../permits/permitted-placement.js';
import type { GatewayRecord, PeerAttempt } from '../request-record.js';
import type { GatewayAttemptFailure, GatewayEvent, GatewayRefusalReason } from '../types.js';
import { logForwarded, logForwardingFailed } from './forwarding-log.js';
import type { RequestForwarder } from './request-forwarder.js';
import type { PeerRefusal } from './types.js';

export interface PeerAttemptsOptions {
  readonly context: GatewayContext;
  readonly paths: EndpointPaths;
  readonly forwarder: RequestForwarder;
  readonly placement: PermittedPlacement;
  readonly budget: FleetRetryBudget;
  readonly attempts: GatewayAttempts;
  /** Returns the version of the configuration in force. */
  readonly readVersion: () => number;
  /** Called when a request that has not run is to be placed again. */
  readonly onRetry: (record: GatewayRecord) => void;
  /** Called when an attempt may have run, and has failed. */
  readonly onFailed: (record: GatewayRecord, failure: GatewayAttemptFailure) => void;
  /** Called when a request gets its final refusal. */
  readonly onRefused: (record: GatewayRecord, reason: GatewayRefusalReason) => void;
}

/**
 * What became of a request that is to be forwarded if need be. `notNeeded`: it may be placed on an endpoint.
 * `hopeless`: neither a peer nor an endpoint may serve it.
 */
export type ForwardingResult = 'forwarded' | 'notNeeded' | 'hopeless';

type AttemptFailed = Extract<GatewayEvent, { readonly kind: 'attempt.failed' }>;

/** Forwards requests to peers, and decides what follows when a peer does not serve one. */
export class PeerAttempts {
  constructor(private readonly options: PeerAttemptsOptions) {}

  /** Forwards a request that this entry VM can send to no endpoint, if a peer takes it. */
  forward(record: GatewayRecord): ForwardingResult {
    const { context, forwarder, attempts, paths, placement, readVersion } = this.options;
    const target = forwarder.pick(record);
    if (target !== undefined) {
      logForwarded(context, record, target.peer.id);
      attempts.forward(record, target.peer, readVersion());
      return 'forwarded';
    }
    if (!paths.isLost(record.service.name)) return 'notNeeded';
    // All endpoints that have not failed lately are tried, in case the path is lost to the others only.
    const mayTryDirectly = record.forwardedFrom === undefined && placement.hasHealthy(record);
    return mayTryDirectly ? 'notNeeded' : 'hopeless';
  }

  /** Handles that a peer did not serve a request: another peer or endpoint may. */
  handleFailure(
    record: GatewayRecord,
    { peer }: PeerAttempt,
    { failure, detail, refusal }: AttemptFailed,
  ): void {
    const { context, forwarder, attempts, onRetry, onFailed, onRefused } = this.options;
    logForwardingFailed(context, record, { peer: peer.id, failure, detail, refusal });
    attempts.detach(record);
    if (refusal !== undefined) {
      this.handleRefusal(record, peer.id, refusal);
    } else if (failure === 'notSent') {
      forwarder.recordUnreachable(record, peer.id);
      onRetry(record);
    } else if (failure === 'unsendable' || failure === 'noResources') {
      record.refusedPeers.add(peer.id);
      record.unsendable += 1;
      if (record.unsendable <= MAX_UNSENDABLE_RETRIES) onRetry(record);
      else onRefused(record, 'rejected');
    } else {
      // A lost response of a peer is as unknown as one of an endpoint.
      onFailed(record, failure);
    }
  }

  private handleRefusal(record: GatewayRecord, peer: EntryVmId, refusal: PeerRefusal): void {
    const { context, forwarder, budget, onRetry, onFailed, onRefused } = this.options;
    if (refusal.endpoint !== undefined) record.failedEndpoints.add(refusal.endpoint);
    if (refusal.hasRun) {
      onFailed(record, 'broken');
      return;
    }
    record.refusedPeers.add(peer);
    record.peerRefusal = refusal;
    const mayRetryElsewhere =
      forwarder.mayTryAnother(refusal) &&
      (!refusal.hasArrived || budget.takeRetry(record.service.name, context.nowMs));
    if (mayRetryElsewhere) onRetry(record);
    else onRefused(record, refusal.reason);
  }
}
