export { LocalConfiguration } from './configuration/local-configuration.js';
export { NodeConfiguration } from './configuration/node-configuration.js';
export type * from './configuration/types.js';
export { InvariantViolation } from './invariants/assertions.js';
export { invariantCodes, type Invariant } from './invariants/consts.js';
export { ClaimLedger, formatClaimKey } from './ledger/claim-ledger.js';
export type { Claim, ClaimRow, ClaimState, ClaimWriter, StoredAnswer } from './ledger/types.js';
export { EntryNode, type EntryNodeOptions } from './node/entry-node.js';
export { EntryMembership } from './membership/entry-membership.js';
export type * from './membership/types.js';
export { DEFAULT_ROUTER, routers, type RouterName } from './routing/routers.js';
export type * from './orders/types.js';
export type * from './routing/types.js';
export { NodeContext } from './context/node-context.js';
export type * from './context/types.js';
export { TimerQueue, type Timer } from './timers/timer-queue.js';
export { OrphanSweeper } from './recovery/orphan-sweeper.js';
export { formatStreamId, parseStreamId, type StreamOwner } from './recovery/stream-id.js';
export type * from './recovery/types.js';
export { GatewayNode, type GatewayNodeOptions } from './gateway/gateway-node.js';
export { DATAGRAM_HEADER_BYTES } from './gateway/consts.js';
export {
  computeReadTimings,
  type ReadTiming,
  type RelayTiming,
  type TableReadTimings,
} from './gateway/table-reads/read-timing.js';
export { computeRelayedReadMs } from './gateway/table-reads/compute-relayed-read-ms.js';
export type { TableSource } from './gateway/table-reads/table-sources.js';
export { estimateDatagramBytes } from './gateway/snapshot-sender.js';
export type { AvailabilityUsage } from './gateway/availability/endpoint-availability.js';
export type { EvacuationUsage } from './gateway/availability/evacuated-domains.js';
export type { BlockedUsage, HarmUsage } from './gateway/harm/types.js';
export type {
  ForwardedFrom,
  ForwardingOutcome,
  ForwardingUsage,
  PeerRefusal,
} from './gateway/forwarding/types.js';
export type { PathUsage } from './gateway/path/endpoint-path.js';
export type { ProbeOutcome } from './gateway/path/probe-round.js';
export type { LimitUsage } from './gateway/permits/endpoint-limits.js';
export type { ColdUsage } from './gateway/permits/cold-endpoints.js';
export type * from './gateway/types.js';
