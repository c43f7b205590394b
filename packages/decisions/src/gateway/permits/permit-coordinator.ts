import type { EndpointId, GatewayEndpoint, GatewayPeer, PermitRequest } from '@savorywind/model';
import { findOwner } from '../../membership/rendezvous.js';
import { SNAPSHOT_INTERVAL_MS } from '../consts.js';
import type { EndpointTable } from '../endpoint-table.js';
import type { GatewayContext } from '../gateway-context.js';
import type { PeerTable } from '../peer-table.js';
import type { EndpointLimits } from './endpoint-limits.js';
import { PermitAccount, type PermitDecision } from './permit-account.js';

/** The entry VM that grants the permits of an endpoint. */
export interface Coordinator {
  readonly peer: GatewayPeer;
  /** Fraction of the limit that it grants. */
  readonly share: number;
}

export interface PermitCoordinatorOptions {
  readonly context: GatewayContext;
  readonly self: GatewayPeer;
  readonly peers: PeerTable;
  readonly table: EndpointTable;
  readonly limits: EndpointLimits;
}

/**
 * Denial of an entry VM that does not know the endpoint, knows another process of it, or that by its own view is not the coordinator:
 * after this time the snapshots have brought the views closer.
 */
const OTHER_VIEW: PermitDecision = { outcome: 'denied', delayMs: SNAPSHOT_INTERVAL_MS };

/**
 * Finds the coordinator of each endpoint, and grants permits where it is this entry VM.
 *
 * The coordinator is one of the entry VMs in the endpoint's failure domain, chosen by rendezvous hashing;
 * an endpoint in a domain without entry VMs is coordinated by one of all. It grants the fraction of the
 * limit that corresponds to the entry VMs of that group that it can hear. So the coordinators of a
 * partitioned group together grant no more than the limit.
 */
export class PermitCoordinator {
  private readonly account = new PermitAccount();

  constructor(private readonly options: PermitCoordinatorOptions) {}

  /** Finds the coordinator; undefined if no entry VM of the endpoint's group can be heard. */
  find({ id, failureDomain }: GatewayEndpoint): Coordinator | undefined {
    const { self, peers, context } = this.options;
    const present = peers.listPresent(context.nowMs);
    const inDomain = present.filter(({ peer }) => peer.failureDomain === failureDomain);
    const isOwnDomain = self.failureDomain === failureDomain;
    const isInGroup = isOwnDomain || inDomain.length === 0;
    const group = isOwnDomain || inDomain.length > 0 ? inDomain : present;
    const active = group.filter((state) => peers.isActive(state, context.nowMs));
    const candidates = active
      .filter(({ answersPermits }) => answersPermits)
      .map(({ peer }) => peer);
    if (isInGroup) candidates.push(self);
    const ownerId = findOwner(
      id,
      candidates.map((peer) => peer.id),
    );
    const peer = candidates.find((candidate) => candidate.id === ownerId);
    const ownCount = Number(isInGroup);
    const share = (active.length + ownCount) / (group.length + ownCount);
    return peer === undefined ? undefined : { peer, share };
  }

  /** Decides a request for a permit, of a peer or of this entry VM itself. */
  decide({ limit, maxDelayMs }: Pick<PermitRequest, 'limit' | 'maxDelayMs'>): PermitDecision {
    const { context, self, table, limits } = this.options;
    limits.applyObservation(limit);
    const endpoint = table.find(limit.endpoint);
    const { endpoint: id, startedAtMs } = limit;
    if (endpoint === undefined || !table.isKnown({ id, startedAtMs })) return OTHER_VIEW;
    const coordinator = this.find(endpoint);
    if (coordinator?.peer.id !== self.id) return OTHER_VIEW;
    const perSecond = limits.find(endpoint.id);
    if (perSecond === undefined) return { outcome: 'granted', delayMs: 0 };
    return this.account.take(endpoint.id, perSecond * coordinator.share, maxDelayMs, context.nowMs);
  }

  /** Answers a request for a permit of a peer. */
  handleRequest(request: PermitRequest): void {
    const answer = { permitId: request.permitId, ...this.decide(request) };
    this.options.context.emit({ kind: 'permit.answer', answer, to: request.replyTo });
  }

  remove(endpoint: EndpointId): void {
    this.account.remove(endpoint);
  }
}
