import type { EntryVm } from '../world/types.js';

/** Messages about who is there, between entry VMs. */
export interface MembershipMessage {
  readonly kind: 'membership.heartbeat';
  readonly vm: EntryVm;
  readonly state: 'live' | 'leaving';
  readonly configurationVersion: number;
}
