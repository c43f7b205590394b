import type { EndpointId, FailureDomainId, MonotonicMs } from '@savorywind/model';
import { DOMAIN_SILENCE_MS, PEERS_GONE_MS } from './consts.js';
import type { FleetPicture } from './fleet-picture.js';

/** What was seen of one failure domain's endpoints. */
interface DomainSigns {
  answeredAtMs: MonotonicMs | undefined;
  /** Endpoints that were lost since one last answered, and when. */
  readonly lostAtMs: Map<EndpointId, MonotonicMs>;
}

/** Endpoints of a domain that are lost without a sign of it in between: one alone may have ended. */
const LOST_TOGETHER = 2;

/**
 * Which failure domains can't be reached. Answers the cut of a whole domain, of which each endpoint
 * alone would be found out by a request that is late for it. A domain counts as cut off when all its
 * entry VMs have fallen silent and none of its endpoints has answered anything since; or at once
 * when several of its endpoints were lost since the last sign of it.
 *
 * @example
 * reach.reportAnswer(endpoint.failureDomain, nowMs);
 * reach.isCutOff('a', nowMs); // false
 */
export class DomainReach {
  private readonly domains = new Map<FailureDomainId, DomainSigns>();

  constructor(private readonly picture: FleetPicture) {}

  /** An endpoint of the domain sent something. */
  reportAnswer(domain: FailureDomainId, nowMs: MonotonicMs): void {
    const signs = this.findSigns(domain);
    signs.answeredAtMs = nowMs;
    signs.lostAtMs.clear();
  }

  /** The connection to an endpoint was lost or not to be had, or the endpoint fell silent. */
  reportLoss(domain: FailureDomainId, endpoint: EndpointId, nowMs: MonotonicMs): void {
    this.findSigns(domain).lostAtMs.set(endpoint, nowMs);
  }

  isCutOff(domain: FailureDomainId, nowMs: MonotonicMs): boolean {
    const heardAtMs = this.picture.findHeardAtMs(domain);
    // Without entry VMs there, or where they are gone for good, their silence says nothing.
    if (heardAtMs === undefined || nowMs - heardAtMs > PEERS_GONE_MS) return false;
    const { answeredAtMs, lostAtMs } = this.findSigns(domain);
    const lastSignMs = Math.max(heardAtMs, answeredAtMs ?? heardAtMs);
    if (nowMs - lastSignMs >= DOMAIN_SILENCE_MS) return true;
    const lost = [...lostAtMs.values()].filter((atMs) => atMs > lastSignMs);
    return lost.length >= LOST_TOGETHER;
  }

  private findSigns(domain: FailureDomainId): DomainSigns {
    const known = this.domains.get(domain);
    if (known !== undefined) return known;
    const fresh: DomainSigns = { answeredAtMs: undefined, lostAtMs: new Map() };
    this.domains.set(domain, fresh);
    return fresh;
  }
}
