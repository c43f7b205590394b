import type { MonotonicMs } from '@savorywind/model';
import type { AttemptPlan } from '../gateway-attempts.js';
import type { GatewayContext } from '../gateway-context.js';
import type { PlacementDecision, PlacementPolicy } from '../placement/placement-policy.js';
import type { GatewayRecord } from '../request-record.js';
import type { PermitHolder } from './permit-holder.js';

export interface PermittedPlacementOptions {
  readonly context: GatewayContext;
  readonly placementPolicy: PlacementPolicy;
  readonly permits: PermitHolder;
}

/**
 * Places requests, and requests permits for endpoints with limits where the others can't serve in time.
 *
 * @example
 * const decision = placement.decide(record, latestMs, queuedRequests);
 * if (decision.kind === 'place') placement.usePermit(decision);
 */
export class PermittedPlacement {
  constructor(private readonly options: PermittedPlacementOptions) {}

  /**
   * Decides where a request is placed.
   *
   * @param latestMs latest useful start of an attempt
   * @param queued other requests of the service that wait in this entry VM
   */
  decide(record: GatewayRecord, latestMs: MonotonicMs, queued: number): PlacementDecision {
    const { context, placementPolicy, permits } = this.options;
    const decision = placementPolicy.decide(record);
    const isOnTime = decision.kind === 'place' && decision.isOnTime;
    if (isOnTime || decision.kind === 'noEndpoint' || decision.kind === 'closed') return decision;
    const limited = placementPolicy.listLimited(record);
    if (limited.length === 0) return decision;
    const hasPermit = permits.request(limited, queued + 1, latestMs - context.nowMs);
    const needsPermit = decision.kind === 'wait' && decision.permitMs !== undefined;
    return hasPermit || needsPermit ? placementPolicy.decide(record) : decision;
  }

  /** Whether an endpoint may get the request that has not failed lately. */
  hasHealthy(record: GatewayRecord): boolean {
    return this.options.placementPolicy.hasHealthy(record);
  }

  /** Uses up the permit for the endpoint of an attempt; its helpers need none. */
  usePermit({ endpoint }: AttemptPlan): void {
    this.options.permits.use(endpoint.id);
  }
}
