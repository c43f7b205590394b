import type {
  Configuration,
  EndpointId,
  Engine,
  EntryVmId,
  ModelContract,
  MonotonicMs,
  Refusal,
  RequestId,
  RoutingMessage,
} from '@savorywind/model';
import type { Membership } from '../membership/types.js';
import type { NodeContext } from '../seam/node-context.js';

/** What a request needs of an engine. */
export interface SlotAsk {
  readonly contract: ModelContract;
  readonly deadlineMs: MonotonicMs;
  /** Engines on which this request failed; taken only where no other is left. */
  readonly avoid?: ReadonlySet<EndpointId>;
}

export type SlotDecision =
  | { readonly kind: 'granted'; readonly engine: Engine; readonly priority: number }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

export type SlotListener = (decision: SlotDecision) => void;

/** How a slot ended; tells the account whether the engine's estimate held and whether it is sound. */
export type SlotOutcome = 'finished' | 'cancelled' | 'rejected' | 'broken' | 'notSent';

/** Who may put work on an engine, and in which order. */
export interface Router {
  start(): void;
  /** Asks for a slot; the listener is called once, now or later, unless the ask is withdrawn. */
  askSlot(ask: SlotAsk, listener: SlotListener): void;
  withdrawAsk(requestId: RequestId): void;
  /** The prompt is read: the first token has come. */
  recordFirstToken(requestId: RequestId): void;
  /** Gives a slot back; does nothing where it is given back already. */
  releaseSlot(requestId: RequestId, outcome: SlotOutcome): void;
  acceptMessage(peer: EntryVmId, message: RoutingMessage): void;
}

/** What a placement policy is given. */
export interface RouterDependencies {
  readonly context: NodeContext;
  readonly membership: Membership;
  readonly readConfiguration: () => Configuration | undefined;
}
