import type { Configuration } from '@savorywind/model';
import type { Membership } from '../membership/types.js';
import type { NodeContext } from '../seam/node-context.js';
import { LeaseKeeper } from './lease-keeper.js';
import { OrderGiver } from './order-giver.js';
import type { LeaseView } from './types.js';

interface Dependencies {
  readonly context: NodeContext;
  readonly membership: Membership;
  readonly readConfiguration: () => Configuration | undefined;
}

/** Orders to the engines of one failure domain, given by whoever holds the lease for it. */
export class NodeOrders {
  private readonly lease: LeaseKeeper;

  private readonly giver: OrderGiver;

  constructor({ context, membership, readConfiguration }: Dependencies) {
    this.lease = new LeaseKeeper({
      context,
      membership,
      isNeeded: () => this.giver.listEngines().length > 0,
      onTaken: () => this.giver.reset(),
    });
    this.giver = new OrderGiver({ context, lease: this.lease, readConfiguration });
  }

  start(): void {
    this.lease.start();
    this.giver.start();
  }

  /** A leaving entry VM gives the lease back. */
  startDrain(): void {
    this.lease.release();
  }

  get view(): LeaseView {
    return this.lease.view;
  }
}
