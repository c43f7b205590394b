import type { Configuration, EndpointId, ServiceReplica } from '@savorywind/model';
import type { Membership } from '../membership/types.js';

/**
 * Picks a random usable replica of a service. Replicas on which the request has failed are picked
 * only if no other replica is usable.
 *
 * @param random number from 0 (included) to 1 (excluded)
 */
export const pickReplica = (
  configuration: Configuration | undefined,
  service: string,
  failedReplicas: ReadonlySet<EndpointId>,
  membership: Membership,
  random: number,
): ServiceReplica | undefined => {
  const usable = (configuration?.endpoints ?? []).filter(
    (endpoint): endpoint is ServiceReplica =>
      endpoint.kind === 'service' &&
      endpoint.service === service &&
      membership.isUsable(endpoint.id),
  );
  const untried = usable.filter(({ id }) => !failedReplicas.has(id));
  const candidates = untried.length > 0 ? untried : usable;
  return candidates[Math.floor(random * candidates.length)];
};
