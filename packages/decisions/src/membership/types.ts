import type { EndpointId, Engine, EntryVm, EntryVmId, LinkMessage } from '@savorywind/model';
import type { AttemptFailure } from '../context/types.js';

/** Outcome of one attempt at an endpoint, as input of outlier ejection. */
export type EndpointOutcome = 'answered' | AttemptFailure;

/** State of one peer, as shown to operators. */
export interface MemberView {
  readonly vm: EntryVm;
  readonly state: 'live' | 'leaving' | 'unreachable';
  /** Configuration version that the peer last reported; 0 if it has not reported one. */
  readonly configurationVersion: number;
}

/**
 * State of the incarnation that owns a resource. `replaced`: it has certainly ended, because a newer
 * incarnation of the same entry VM was seen. `unreachable` may be a false suspicion.
 */
export type OwnerState = 'live' | 'unreachable' | 'replaced';

/** Incarnation of an entry VM that owns a resource, for example a claim or a stream. */
export interface Owner {
  readonly vmId: EntryVmId;
  readonly incarnation: number;
}

/** Members of the fleet, as seen by one entry VM. */
export interface MembershipView {
  readonly live: readonly EntryVm[];
  readonly members: readonly MemberView[];
}

/** Interface of membership and endpoint health for the other parts of an entry VM. */
export interface Membership {
  /** Lists entry VMs that are live and not leaving, including this one. */
  listLive(): readonly EntryVm[];
  /** Lists entry VMs to which a link is open. */
  listLinked(): readonly EntryVmId[];
  /** Lists all other known entry VMs. */
  listMembers(): readonly MemberView[];
  /**
   * Sends a message over the link to a peer, opening the link if needed. Delivery is not guaranteed.
   */
  send(peer: EntryVmId, message: LinkMessage): void;
  /** Whether an endpoint may get new work: it is neither leaving nor ejected. */
  isUsable(endpoint: EndpointId): boolean;
  /**
   * Fraction of its usual new work that an endpoint should get, from 0 to 1. It grows gradually
   * after an ejection (slow start).
   */
  readTrafficFraction(endpoint: EndpointId): number;
  /**
   * Records the outcome of an attempt. Consecutive `notSent`, `broken` and `invalid` outcomes lead
   * to an ejection.
   */
  reportOutcome(endpoint: EndpointId, outcome: EndpointOutcome): void;
  /** Returns the state of the incarnation that owns a resource. */
  checkOwner(owner: Owner): OwnerState;
  /**
   * Finds the coordinator of an engine: the entry VM that accounts for the engine's capacity. It is
   * chosen by rendezvous hashing among the live entry VMs of the engine's failure domain, or among
   * all live entry VMs if that domain has none.
   */
  findCoordinator(engine: Engine): EntryVmId | undefined;
  /**
   * Calls the listener when the coordinators of engines may have changed. The previous coordinator
   * may have granted capacity that the new one does not know about; the engine refuses work that
   * does not fit.
   */
  onCoordinatorsChanged(listener: () => void): void;
}
