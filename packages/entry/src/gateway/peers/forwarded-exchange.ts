import type { IncomingMessage, ServerResponse } from 'node:http';
import type { EndpointProcess, GatewayRefusal } from '@savorywind/decisions';
import { CallerExchange, type ReceivedRequest } from '../callers/caller-exchange.js';
import { encodeHeader, forwardingHeaders, type ForwardedHeader } from './forwarding-headers.js';

/** A request that a peer has forwarded. Each response names the peer's attempt. */
export class ForwardedExchange extends CallerExchange {
  private endpoint: EndpointProcess | undefined;

  constructor(
    requestId: string,
    received: ReceivedRequest,
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    readonly forwarded: ForwardedHeader,
  ) {
    super(requestId, received, incoming, outgoing);
  }

  override recordEndpoint(endpoint: EndpointProcess | undefined): void {
    this.endpoint = endpoint;
  }

  protected override listServedHeaders(): string[] {
    const { endpoint, forwarded } = this;
    if (endpoint === undefined) return [];
    const { id, startedAtMs } = endpoint;
    const served = encodeHeader({ attempt: forwarded.attempt, id, startedAtMs });
    return [forwardingHeaders.served, served];
  }

  protected override listRefusalHeaders(refusal: GatewayRefusal): Record<string, string> {
    const { retryAfterMs, forwarding } = refusal;
    // Earlier builds do not know the first one.
    const reason = refusal.reason === 'misconfigured' ? 'noEndpoint' : refusal.reason;
    const { hasRun = true, hasArrived = true, endpoint } = forwarding ?? {};
    const { attempt } = this.forwarded;
    return {
      [forwardingHeaders.refused]: encodeHeader({
        attempt,
        reason,
        retryAfterMs,
        hasRun,
        hasArrived,
        endpoint,
      }),
    };
  }
}
