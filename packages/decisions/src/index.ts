export { ConfigurationKeeper } from './configuration/configuration-keeper.js';
export { ClaimLedger, formatClaimKey } from './ledger/claim-ledger.js';
export type { ClaimRow, ClaimState } from './ledger/types.js';
export { EntryNode, type EntryNodeOptions } from './node/entry-node.js';
export { LocalRouter } from './routing/local-router.js';
export type * from './routing/types.js';
export { NodeContext } from './seam/node-context.js';
export type * from './seam/types.js';
export { TimerQueue, type Timer } from './timers/timer-queue.js';
