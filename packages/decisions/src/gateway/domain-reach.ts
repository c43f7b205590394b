import type { FailureDomainId, MonotonicMs } from '@savorywind/model';
import { DOMAIN_SILENCE_MS, PEERS_GONE_MS } from './consts.js';
import type { FleetPicture } from './fleet-picture.js';

/**
 * Which failure domains can't be reached. Answers the cut of a whole domain, of which each endpoint
 * alone would be found out by a request that is late for it: a domain counts as cut off when all its
 * entry VMs have fallen silent, and none of its endpoints has answered anything since.
 *
 * @example
 * reach.reportAnswer(endpoint.failureDomain, nowMs);
 * reach.isCutOff('a', nowMs); // false
 */
export class DomainReach {
  private readonly answeredAtMs = new Map<FailureDomainId, MonotonicMs>();

  constructor(private readonly picture: FleetPicture) {}

  /** An endpoint of the domain sent something. */
  reportAnswer(domain: FailureDomainId, nowMs: MonotonicMs): void {
    this.answeredAtMs.set(domain, nowMs);
  }

  isCutOff(domain: FailureDomainId, nowMs: MonotonicMs): boolean {
    const heardAtMs = this.picture.findHeardAtMs(domain);
    // Without entry VMs there, or where they are gone for good, their silence says nothing.
    if (heardAtMs === undefined || nowMs - heardAtMs > PEERS_GONE_MS) return false;
    const lastSignMs = Math.max(heardAtMs, this.answeredAtMs.get(domain) ?? heardAtMs);
    return nowMs - lastSignMs >= DOMAIN_SILENCE_MS;
  }
}
