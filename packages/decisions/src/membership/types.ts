import type { EndpointId, Engine, EntryVm, EntryVmId, LinkMessage } from '@savorywind/model';
import type { AttemptFailure } from '../seam/types.js';

/** How one attempt at an endpoint ended, as far as it tells about the endpoint's health. */
export type EndpointOutcome = 'answered' | AttemptFailure;

/** What the rest of the decisions asks of membership. */
export interface Membership {
  /** Entry VMs that are live and not leaving, this one included. */
  listLive(): readonly EntryVm[];
  /** Entry VMs to which a link is open. */
  listLinked(): readonly EntryVmId[];
  send(peer: EntryVmId, message: LinkMessage): void;
  /** Whether new work may go to an endpoint: it is not leaving and not ejected. */
  isUsable(endpoint: EndpointId): boolean;
  /** Tells how an attempt ended; `notSent`, `broken` and `invalid` in a row speak for an ejection. */
  reportOutcome(endpoint: EndpointId, outcome: EndpointOutcome): void;
  /** The entry VM that keeps the account of an engine, by rendezvous hash in its failure domain. */
  findHome(engine: Engine): EntryVmId | undefined;
}
