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
import type { NodeContext } from '../context/node-context.js';
import type { AnswerUsage } from '../context/types.js';

/** A request for a slot on an engine. */
export interface SlotRequest {
  readonly contract: ModelContract;
  readonly deadlineMs: MonotonicMs;
  /** Engines on which an earlier attempt failed; used only if no other engine is available. */
  readonly failedEngines?: ReadonlySet<EndpointId>;
}

/** Decision on a slot request; a granted slot comes with the priority to send to the engine. */
export type SlotDecision =
  | { readonly kind: 'granted'; readonly engine: Engine; readonly priority: number }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

export type SlotListener = (decision: SlotDecision) => void;

/** How the use of a slot ended. `rejected`: the engine refused the stream for lack of memory. */
export type SlotOutcome = 'finished' | 'cancelled' | 'rejected' | 'broken' | 'notSent';

/** Decides which engine serves a model request, when it may start, and at what priority. */
export interface Router {
  start(): void;
  /**
   * Requests a slot. The listener is called exactly once, synchronously or later, unless the slot
   * request is cancelled first.
   */
  requestSlot(request: SlotRequest, listener: SlotListener): void;
  cancelSlotRequest(requestId: RequestId): void;
  /** Records that the first token arrived, which means that prefill is complete. */
  recordFirstToken(requestId: RequestId): void;
  /** Records the token counts that the engine reports with the end; called before the release. */
  recordUsage(requestId: RequestId, usage: AnswerUsage | undefined): void;
  /** Releases a slot; does nothing if it is already released. */
  releaseSlot(requestId: RequestId, outcome: SlotOutcome): void;
  handleMessage(peer: EntryVmId, message: RoutingMessage): void;
}

export interface RouterDependencies {
  readonly context: NodeContext;
  readonly membership: Membership;
  readonly readConfiguration: () => Configuration | undefined;
}
