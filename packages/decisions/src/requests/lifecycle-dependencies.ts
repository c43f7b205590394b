import type { Configuration } from '@savorywind/model';
import type { ClaimLedger } from '../ledger/claim-ledger.js';
import type { Membership } from '../membership/types.js';
import type { Router } from '../routing/types.js';
import type { NodeContext } from '../seam/node-context.js';

/** What the life cycle of requests needs of the rest of the decisions. */
export interface LifecycleDependencies {
  readonly context: NodeContext;
  readonly router: Router;
  readonly ledger: ClaimLedger;
  readonly membership: Membership;
  readonly readConfiguration: () => Configuration | undefined;
  readonly onIdle: () => void;
}
