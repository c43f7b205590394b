import type {
  EndpointId,
  Engine,
  EntryVm,
  EntryVmId,
  LinkMessage,
  MembershipMessage,
} from '@savorywind/model';
import type { NodeContext } from '../seam/node-context.js';
import type { EndpointOutcome, Membership } from './types.js';

/** Who is there: entry VMs and endpoints, as far as this entry VM can tell. */
export class EntryMembership implements Membership {
  private readonly linked = new Set<EntryVmId>();

  constructor(private readonly context: NodeContext) {}

  // eslint-disable-next-line class-methods-use-this
  start(): void {}

  listLive(): readonly EntryVm[] {
    return [this.context.self];
  }

  listLinked(): readonly EntryVmId[] {
    return [...this.linked];
  }

  send(peer: EntryVmId, message: LinkMessage): void {
    this.context.emit({ kind: 'link.send', peer, message });
  }

  // eslint-disable-next-line class-methods-use-this, @typescript-eslint/no-unused-vars
  isUsable(endpoint: EndpointId): boolean {
    return true;
  }

  // eslint-disable-next-line class-methods-use-this, @typescript-eslint/no-unused-vars
  reportOutcome(endpoint: EndpointId, outcome: EndpointOutcome): void {}

  // eslint-disable-next-line @typescript-eslint/no-unused-vars
  findHome(engine: Engine): EntryVmId | undefined {
    return this.context.self.id;
  }

  acceptLinkOpened(peer: EntryVmId): void {
    this.linked.add(peer);
  }

  acceptLinkClosed(peer: EntryVmId): void {
    this.linked.delete(peer);
  }

  // eslint-disable-next-line class-methods-use-this, @typescript-eslint/no-unused-vars
  acceptMessage(peer: EntryVmId, message: MembershipMessage): void {}
}
