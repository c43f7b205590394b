import type { FailureDomainId, GatewayEndpoint } from '@savorywind/model';
import type { EngineCandidate } from './placement-estimates.js';

const countRequests = ({ load }: EngineCandidate): number => load.readers + load.writers;

const measureLocality = (endpoint: GatewayEndpoint, domain: FailureDomainId): number =>
  Number(endpoint.failureDomain === domain);

/**
 * Picks the replica of a plain service with the fewest requests of all entry VMs. Ties go to the
 * local failure domain, then to a random replica, so that entry VMs do not all pick the same one.
 *
 * @returns undefined without candidates
 */
export const pickReplica = (
  candidates: readonly EngineCandidate[],
  domain: FailureDomainId,
  drawRandom: () => number,
): GatewayEndpoint | undefined => {
  const ranked = candidates.map((candidate) => ({ ...candidate, random: drawRandom() }));
  ranked.sort(
    (a, b) =>
      countRequests(a) - countRequests(b) ||
      measureLocality(b.endpoint, domain) - measureLocality(a.endpoint, domain) ||
      a.random - b.random,
  );
  return ranked[0]?.endpoint;
};
