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

const findBridge = (key: string, vms: readonly EntryVm[]): EntryVm | undefined => {
  const owner = findOwner(
    key,
    vms.map(({ id }) => id),
  );
  return vms.find(({ id }) => id === owner);
};

const formatPair = (a: FailureDomainId, b: FailureDomainId): string =>
  a < b ? `${a}|${b}` : `${b}|${a}`;

/**
 * Lists the peers in other failure domains to which `self` keeps a link as a bridge of its domain: one
 * of the entry VMs that connect their failure domain to another one.
 */
const listBridgePeers = (
  self: EntryVm,
  groups: ReadonlyMap<FailureDomainId, readonly EntryVm[]>,
): EntryVm[] => {
  const localVms = groups.get(self.failureDomain) ?? [];
  const peers: EntryVm[] = [];
  groups.forEach((vms, domain) => {
    if (domain === self.failureDomain) return;
    for (let index = 0; index < LINKS_PER_DOMAIN_PAIR; index += 1) {
      const key = `${formatPair(self.failureDomain, domain)}|${index}`;
      const peer = findBridge(key, vms);
      if (findBridge(key, localVms)?.id === self.id && peer !== undefined) peers.push(peer);
    }
  });
  return peers;
};

/**
 * Lists the peers to which an entry VM keeps links. In a small fleet these are all peers. In a large
 * one they are all peers of its failure domain and, if it is a bridge, one or a few peers in other
 * domains. Bridges are chosen by rendezvous hashing, so that both ends choose the same links.
 *
 * @example
 * const peers = listPlannedPeers(self, [self, ...members], () => true);
 *
 * @param vms all known entry VMs, including `self`
 * @param mayBeBridge false for entry VMs that are leaving or unreachable; if it is false for all entry
 *   VMs of a failure domain, all of them are candidates
 */
export const listPlannedPeers = (
  self: EntryVm,
  vms: readonly EntryVm[],
  mayBeBridge: (vm: EntryVm) => boolean,
): EntryVm[] => {
  const others = vms.filter(({ id }) => id !== self.id);
  if (vms.length <= FULL_MESH_LIMIT) return others;
  const mesh = others.filter(({ failureDomain }) => failureDomain === self.failureDomain);
  const groups = groupByDomain(vms);
  groups.forEach((group, domain) => {
    const candidates = group.filter(mayBeBridge);
    if (candidates.length > 0) groups.set(domain, candidates);
  });
  const bridgePeers = listBridgePeers(self, groups);
  return [...new Set([...mesh, ...bridgePeers])];
};
