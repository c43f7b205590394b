import type { EndpointId, RequestId } from '../world/types.js';

/** Messages about slots on engines, between an entry VM and the home of an engine. */
export type RoutingMessage =
  | {
      readonly kind: 'slot.ask';
      readonly requestId: RequestId;
      readonly engine: EndpointId;
      readonly promptTokens: number;
      readonly outputTokens: number;
    }
  | { readonly kind: 'slot.grant'; readonly requestId: RequestId; readonly engine: EndpointId }
  | { readonly kind: 'slot.release'; readonly requestId: RequestId; readonly engine: EndpointId };
