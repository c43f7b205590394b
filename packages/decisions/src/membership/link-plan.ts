import type { EntryVm, FailureDomainId } from '@savorywind/model';
import { FULL_MESH_LIMIT, LINKS_PER_DOMAIN_PAIR } from './consts.js';
import { findOwner } from './rendezvous.js';

const groupByDomain = (vms: readonly EntryVm[]): Map<FailureDomainId, EntryVm[]> => {
  const groups = new Map<FailureDomainId, EntryVm[]>();
  vms.forEach((vm) => {
    const group = groups.get(vm.failureDomain);
    if (group === undefined) groups.set(vm.failureDomain, [vm]);
    else group.push(vm);
  });
  return groups;
};

const findGateway = (key: string, vms: readonly EntryVm[]): EntryVm | undefined => {
  const owner = findOwner(
    key,
    vms.map(({ id }) => id),
  );
  return vms.find(({ id }) => id === owner);
};

const formatPair = (a: FailureDomainId, b: FailureDomainId): string =>
  a < b ? `${a}|${b}` : `${b}|${a}`;

/** Peers of other failure domains that `self` has to keep a link to as one of its domain's gateways. */
const listGatewayPeers = (
  self: EntryVm,
  groups: ReadonlyMap<FailureDomainId, readonly EntryVm[]>,
): EntryVm[] => {
  const own = groups.get(self.failureDomain) ?? [];
  const peers: EntryVm[] = [];
  groups.forEach((vms, domain) => {
    if (domain === self.failureDomain) return;
    for (let index = 0; index < LINKS_PER_DOMAIN_PAIR; index += 1) {
      const key = `${formatPair(self.failureDomain, domain)}|${index}`;
      const peer = findGateway(key, vms);
      if (findGateway(key, own)?.id === self.id && peer !== undefined) peers.push(peer);
    }
  });
  return peers;
};

/**
 * To which peers an entry VM keeps links: all of a small fleet; of a large one all of its failure
 * domain, and few to each other domain, chosen by rendezvous hash so that both ends agree.
 *
 * @example
 * const peers = listPlannedPeers(self, [self, ...members], () => true);
 *
 * @param vms all known entry VMs, `self` included
 * @param mayBeGateway false for those that are leaving or could not be reached; where it holds for
 *   none of a failure domain, all of them are tried
 */
export const listPlannedPeers = (
  self: EntryVm,
  vms: readonly EntryVm[],
  mayBeGateway: (vm: EntryVm) => boolean,
): EntryVm[] => {
  const others = vms.filter(({ id }) => id !== self.id);
  if (vms.length <= FULL_MESH_LIMIT) return others;
  const mesh = others.filter(({ failureDomain }) => failureDomain === self.failureDomain);
  const groups = groupByDomain(vms);
  groups.forEach((group, domain) => {
    const candidates = group.filter(mayBeGateway);
    if (candidates.length > 0) groups.set(domain, candidates);
  });
  const gateways = listGatewayPeers(self, groups);
  return [...new Set([...mesh, ...gateways])];
};
