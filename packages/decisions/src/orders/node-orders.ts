import type { Configuration } from '@savorywind/model';
import type { Membership } from '../membership/types.js';
import type { NodeContext } from '../context/node-context.js';
import { LeaseManager } from './lease-manager.js';
import { PlacementReconciler } from './placement-reconciler.js';
import type { LeaseView } from './types.js';

interface Dependencies {
  readonly context: NodeContext;
  readonly membership: Membership;
  readonly readConfiguration: () => Configuration | undefined;
}

/** Sends placement orders to the engines of one failure domain while it holds the order lease. */
export class NodeOrders {
  private readonly lease: LeaseManager;

  private readonly reconciler: PlacementReconciler;

  constructor({ context, membership, readConfiguration }: Dependencies) {
    this.lease = new LeaseManager({
      context,
      membership,
      isNeeded: () => this.reconciler.listEngines().length > 0,
      onAcquired: () => this.reconciler.reset(),
    });
    this.reconciler = new PlacementReconciler({ context, lease: this.lease, readConfiguration });
  }

  start(): void {
    this.lease.start();
    this.reconciler.start();
  }

  /** Releases the lease, because this entry VM is leaving. */
  startDrain(): void {
    this.lease.release();
  }

  get view(): LeaseView {
    return this.lease.view;
  }
}
