import type { EndpointId, Engine, EntryVm, EntryVmId, LinkMessage } from '@savorywind/model';
import type { AttemptFailure } from '../seam/types.js';

/** How one attempt at an endpoint ended, as far as it tells about the endpoint's health. */
export type EndpointOutcome = 'answered' | AttemptFailure;

/** What operators see of an entry VM's peer. */
export interface MemberView {
  readonly vm: EntryVm;
  readonly state: 'live' | 'leaving' | 'unreachable';
  /** Version that the peer last reported; 0 where it reported none. */
  readonly configurationVersion: number;
}

/**
 * What became of the incarnation that owns something. `replaced`: it has certainly ended, since a
 * newer one was seen. `unreachable` may be a wrong suspicion.
 */
export type OwnerLife = 'live' | 'unreachable' | 'replaced';

/** One incarnation of an entry VM, as named by what it owns. */
export interface Owner {
  readonly vmId: EntryVmId;
  readonly incarnation: number;
}

/** Who is there, as one entry VM sees it. */
export interface MembershipView {
  readonly live: readonly EntryVm[];
  readonly members: readonly MemberView[];
}

/** What the rest of the decisions asks of membership. */
export interface Membership {
  /** Entry VMs that are live and not leaving, this one included. */
  listLive(): readonly EntryVm[];
  /** Entry VMs to which a link is open. */
  listLinked(): readonly EntryVmId[];
  /** All other entry VMs that are known. */
  listMembers(): readonly MemberView[];
  /** Sends over the link, which is opened first where there is none; the message may be lost. */
  send(peer: EntryVmId, message: LinkMessage): void;
  /** Whether new work may go to an endpoint: it is not leaving and not ejected. */
  isUsable(endpoint: EndpointId): boolean;
  /** Share of its usual new work that an endpoint should get, from 0 to 1: it grows after a return. */
  readShare(endpoint: EndpointId): number;
  /** Tells how an attempt ended; `notSent`, `broken` and `invalid` in a row speak for an ejection. */
  reportOutcome(endpoint: EndpointId, outcome: EndpointOutcome): void;
  /** What became of an owner. */
  judgeOwner(owner: Owner): OwnerLife;
  /**
   * The entry VM that keeps the account of an engine, by rendezvous hash in its failure domain;
   * where that has no live entry VM, among all.
   */
  findHome(engine: Engine): EntryVmId | undefined;
  /**
   * Calls the listener when homes may have moved. The old home may have granted what the new one does
   * not know of; the engine refuses what does not fit.
   */
  onHomesChanged(listener: () => void): void;
}
