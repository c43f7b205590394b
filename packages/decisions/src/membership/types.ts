import type { EndpointId, Engine, EntryVm, EntryVmId, LinkMessage } from '@savorywind/model';

/** What the rest of the decisions asks of membership. */
export interface Membership {
  /** Entry VMs that are live and not leaving, this one included. */
  listLive(): readonly EntryVm[];
  /** Entry VMs to which a link is open. */
  listLinked(): readonly EntryVmId[];
  send(peer: EntryVmId, message: LinkMessage): void;
  /** Whether new work may go to an endpoint: it is not leaving and not ejected. */
  isUsable(endpoint: EndpointId): boolean;
  /** The entry VM that keeps the account of an engine, by rendezvous hash in its failure domain. */
  findHome(engine: Engine): EntryVmId | undefined;
}
