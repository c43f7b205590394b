import type { NodeEffect, NodeEvent } from '@savorywind/decisions';

/** One handler for each kind of effect of an entry VM's state machine. */
export type EffectHandlers = {
  readonly [Kind in NodeEffect['kind']]: (
    effect: Extract<NodeEffect, { readonly kind: Kind }>,
  ) => void;
};

/** Handlers of the effects of one topic, such as "caller" or "link". */
export type TopicHandlers<Topic extends string> = Pick<
  EffectHandlers,
  Extract<NodeEffect['kind'], Topic | `${Topic}.${string}`>
>;

/** Passes an event to the state machine. */
export type Dispatch = (event: NodeEvent) => void;
