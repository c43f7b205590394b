import type { EndpointId, FailureDomainId, MonotonicMs } from '@savorywind/model';
import { DOMAIN_TIMEOUT_INTERVALS, MAX_PEER_ABSENCE_MS } from './consts.js';
import type { PeerTable } from './peer-table.js';

/** Observations of the endpoints of one failure domain. */
interface DomainObservations {
  respondedAtMs: MonotonicMs | undefined;
  /** Endpoints lost since an endpoint of the domain last responded, with the time of the loss. */
  readonly lostAtMs: Map<EndpointId, MonotonicMs>;
}

/**
 * Number of endpoints lost since the last contact with a domain from which the domain counts as
 * unreachable at once. A single lost endpoint may just have stopped.
 */
const MIN_LOST_ENDPOINTS = 2;

/**
 * Detects failure domains that this entry VM can't reach, so that a network partition does not cost
 * one late request per endpoint of the domain. A domain is unreachable when neither its entry VMs
 * nor its endpoints have sent anything for {@link DOMAIN_TIMEOUT_INTERVALS} of its snapshot intervals,
 * or as soon as several of its endpoints were lost since the last contact.
 *
 * @example
 * reachability.reportResponse(endpoint.failureDomain, nowMs);
 * reachability.isUnreachable('a', nowMs); // false
 */
export class DomainReachability {
  private readonly domains = new Map<FailureDomainId, DomainObservations>();

  constructor(private readonly peers: PeerTable) {}

  /** Records that an endpoint of the domain sent data. */
  reportResponse(domain: FailureDomainId, nowMs: MonotonicMs): void {
    const observations = this.findObservations(domain);
    observations.respondedAtMs = nowMs;
    observations.lostAtMs.clear();
  }

  /** Records that a connection to an endpoint failed or broke, or that the endpoint stalled. */
  reportLoss(domain: FailureDomainId, endpoint: EndpointId, nowMs: MonotonicMs): void {
    this.findObservations(domain).lostAtMs.set(endpoint, nowMs);
  }

  isUnreachable(domain: FailureDomainId, nowMs: MonotonicMs): boolean {
    const receivedAtMs = this.peers.findLastReceivedAtMs(domain);
    // Missing snapshots prove nothing if the domain has no entry VMs, or if these may have been
    // removed for good.
    if (receivedAtMs === undefined || nowMs - receivedAtMs > MAX_PEER_ABSENCE_MS) return false;
    const { respondedAtMs, lostAtMs } = this.findObservations(domain);
    const lastContactMs = Math.max(receivedAtMs, respondedAtMs ?? receivedAtMs);
    const timeoutMs = DOMAIN_TIMEOUT_INTERVALS * this.peers.estimateDomainIntervalMs(domain);
    if (nowMs - lastContactMs >= timeoutMs) return true;
    const lost = [...lostAtMs.values()].filter((atMs) => atMs > lastContactMs);
    return lost.length >= MIN_LOST_ENDPOINTS;
  }

  private findObservations(domain: FailureDomainId): DomainObservations {
    const existing = this.domains.get(domain);
    if (existing !== undefined) return existing;
    const created: DomainObservations = { respondedAtMs: undefined, lostAtMs: new Map() };
    this.domains.set(domain, created);
    return created;
  }
}
