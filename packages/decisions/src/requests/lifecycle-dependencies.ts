import type { Configuration } from '@savorywind/model';
import type { ClaimLedger } from '../ledger/claim-ledger.js';
import type { Membership } from '../membership/types.js';
import type { Router } from '../routing/types.js';
import type { NodeContext } from '../context/node-context.js';

/** What the request lifecycle needs from the other modules. */
export interface LifecycleDependencies {
  readonly context: NodeContext;
  readonly router: Router;
  readonly ledger: ClaimLedger;
  readonly membership: Membership;
  readonly readConfiguration: () => Configuration | undefined;
  /**
   * Called when a request has ended, and when a drain stops waiting for claim results, so that the
   * drain can check whether it is complete.
   */
  readonly onIdle: () => void;
}
