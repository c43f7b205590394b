import type { FailureDomainId, GatewayEndpoint } from '@savorywind/model';
import type { EngineCandidate } from './placement-estimates.js';

const countRequests = ({ load }: EngineCandidate): number => load.readers + load.writers;

const isIn = (endpoint: GatewayEndpoint, domain: FailureDomainId): number =>
  Number(endpoint.failureDomain === domain);

/**
 * Chooses the replica of a plain service with the least requests of all entry VMs; among equals one
 * of the own failure domain, then one by chance, so that entry VMs do not all choose the same.
 */
export const pickReplica = (
  candidates: readonly EngineCandidate[],
  domain: FailureDomainId,
  drawRandom: () => number,
): GatewayEndpoint | undefined => {
  const ranked = candidates.map((candidate) => ({ ...candidate, lot: drawRandom() }));
  ranked.sort(
    (a, b) =>
      countRequests(a) - countRequests(b) ||
      isIn(b.endpoint, domain) - isIn(a.endpoint, domain) ||
      a.lot - b.lot,
  );
  return ranked[0]?.endpoint;
};
