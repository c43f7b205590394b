import type { NodeEffect, NodeEvent } from '@savorywind/decisions';

/** Carries out one kind of effect. */
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

/** Hands an event to the decisions. */
export type Dispatch = (event: NodeEvent) => void;
