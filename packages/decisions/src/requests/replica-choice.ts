import type { Configuration, EndpointId, ServiceReplica } from '@savorywind/model';
import type { Membership } from '../membership/types.js';

/**
 * Chooses a replica at random among those that take new work; one on which the request has failed
 * only where no other is left.
 */
export const pickReplica = (
  configuration: Configuration | undefined,
  service: string,
  avoided: ReadonlySet<EndpointId>,
  membership: Membership,
  random: number,
): ServiceReplica | undefined => {
  const usable = (configuration?.endpoints ?? []).filter(
    (endpoint): endpoint is ServiceReplica =>
      endpoint.kind === 'service' &&
      endpoint.service === service &&
      membership.isUsable(endpoint.id),
  );
  const untried = usable.filter(({ id }) => !avoided.has(id));
  const candidates = untried.length > 0 ? untried : usable;
  return candidates[Math.floor(random * candidates.length)];
};
