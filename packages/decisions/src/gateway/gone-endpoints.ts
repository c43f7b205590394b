import type { EndpointId, GatewayEndpoint, MonotonicMs } from '@savorywind/model';

interface GoneEndpoint {
  readonly endpoint: GatewayEndpoint;
  readonly goneAtMs: MonotonicMs;
}

/** Most endpoints that are remembered; as many as a large fleet has. The one that went first is dropped. */
export const MAX_GONE_ENDPOINTS = 2_048;

/** Time for which an endpoint is remembered whose registration has gone. */
export const GONE_MEMORY_MS = 600_000;

/**
 * The endpoints whose registration has gone, in a bounded number and for a bounded time. A registration may
 * lapse although its process lives, and come back; what is known of the process stays true meanwhile.
 *
 * @example
 * gone.add(endpoint, nowMs);
 * gone.take(endpoint.id, nowMs)?.startedAtMs; // the process that had the registration
 */
export class GoneEndpoints {
  /** In the order in which they went. */
  private readonly gone = new Map<EndpointId, GoneEndpoint>();

  /** @param onDropped called when an endpoint is no longer remembered, and has not come back */
  constructor(private readonly onDropped: (endpoint: EndpointId) => void) {}

  /** Remembers an endpoint. Without the start of its process another one could not be told from it. */
  add(endpoint: GatewayEndpoint, nowMs: MonotonicMs): void {
    this.dropOutdated(nowMs);
    if (endpoint.startedAtMs === undefined) {
      this.onDropped(endpoint.id);
      return;
    }
    this.gone.set(endpoint.id, { endpoint, goneAtMs: nowMs });
    const [first] = this.gone.keys();
    if (this.gone.size > MAX_GONE_ENDPOINTS && first !== undefined) this.drop(first);
  }

  /** Removes and returns an endpoint that is registered again; undefined if it is not remembered. */
  take(id: EndpointId, nowMs: MonotonicMs): GatewayEndpoint | undefined {
    this.dropOutdated(nowMs);
    const found = this.gone.get(id)?.endpoint;
    this.gone.delete(id);
    return found;
  }

  find(id: EndpointId): GatewayEndpoint | undefined {
    return this.gone.get(id)?.endpoint;
  }

  list(): GatewayEndpoint[] {
    return [...this.gone.values()].map(({ endpoint }) => endpoint);
  }

  private dropOutdated(nowMs: MonotonicMs): void {
    let [first] = this.gone.values();
    while (first !== undefined && nowMs - first.goneAtMs > GONE_MEMORY_MS) {
      this.drop(first.endpoint.id);
      [first] = this.gone.values();
    }
  }

  private drop(id: EndpointId): void {
    this.gone.delete(id);
    this.onDropped(id);
  }
}
