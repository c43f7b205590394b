import type { EndpointId, GatewayEndpoint, MonotonicMs, ServiceId } from '@savorywind/model';
import type { EndpointChange } from './types.js';

/**
 * The registered endpoints. During an outage of the store, registrations expire although their
 * endpoints are alive. An endpoint whose registration disappears during the outage, or within
 * `reregistrationMs` after it, is therefore retained until that time has passed.
 */
export class EndpointTable {
  private readonly endpoints = new Map<EndpointId, GatewayEndpoint>();

  /** Endpoints whose registration disappeared during an outage of the store or soon after it. */
  private readonly retained = new Set<EndpointId>();

  private hasLoaded = false;

  private graceEndsAtMs: MonotonicMs = 0;

  private isStoreUnavailable = false;

  constructor(
    /** Time within which live endpoints register again after an outage of the store. */
    private readonly reregistrationMs: number,
    /** Called when an endpoint is removed, or restarted under the same id. */
    private readonly onInvalidated: (endpoint: EndpointId) => void,
  ) {}

  /** Whether the registrations have been read at least once. */
  get isLoaded(): boolean {
    return this.hasLoaded;
  }

  /** Records that a call to the store got no response or failed. */
  reportStoreUnavailable(): void {
    this.isStoreUnavailable = true;
  }

  reportStoreAvailable(nowMs: MonotonicMs): void {
    if (!this.isStoreUnavailable) return;
    this.isStoreUnavailable = false;
    this.graceEndsAtMs = nowMs + this.reregistrationMs;
  }

  /** Replaces all registrations; endpoints missing from the list are removed or retained. */
  setAll(endpoints: readonly GatewayEndpoint[], nowMs: MonotonicMs): void {
    const present = new Set(endpoints.map(({ id }) => id));
    [...this.endpoints.keys()]
      .filter((id) => !present.has(id))
      .forEach((id) => this.removeOrRetain(id, nowMs));
    endpoints.forEach((endpoint) => this.set(endpoint));
    this.hasLoaded = true;
  }

  apply(changes: readonly EndpointChange[], nowMs: MonotonicMs): void {
    changes.forEach(({ id, endpoint }) => {
      if (endpoint === undefined) this.removeOrRetain(id, nowMs);
      else this.set(endpoint);
    });
  }

  /** Removes the retained endpoints that did not register again in time. */
  expire(nowMs: MonotonicMs): void {
    if (this.isStoreUnavailable || nowMs < this.graceEndsAtMs) return;
    this.retained.forEach((id) => this.remove(id));
  }

  /** When `expire` removes endpoints next; undefined if there is nothing to remove. */
  get nextExpiryMs(): MonotonicMs | undefined {
    return this.isStoreUnavailable || this.retained.size === 0 ? undefined : this.graceEndsAtMs;
  }

  find(id: EndpointId): GatewayEndpoint | undefined {
    return this.endpoints.get(id);
  }

  /** Whether an endpoint is registered and not leaving. */
  isServing(id: EndpointId): boolean {
    return this.endpoints.get(id)?.state === 'serving';
  }

  listServing(service: ServiceId): GatewayEndpoint[] {
    return [...this.endpoints.values()].filter(
      (endpoint) => endpoint.service === service && endpoint.state === 'serving',
    );
  }

  private set(endpoint: GatewayEndpoint): void {
    const previous = this.endpoints.get(endpoint.id);
    this.retained.delete(endpoint.id);
    this.endpoints.set(endpoint.id, endpoint);
    if (previous !== undefined && previous.startedAtMs !== endpoint.startedAtMs) {
      this.onInvalidated(endpoint.id);
    }
  }

  private removeOrRetain(id: EndpointId, nowMs: MonotonicMs): void {
    if (!this.endpoints.has(id)) return;
    if (!this.isStoreUnavailable && nowMs >= this.graceEndsAtMs) this.remove(id);
    else this.retained.add(id);
  }

  private remove(id: EndpointId): void {
    this.endpoints.delete(id);
    this.retained.delete(id);
    this.onInvalidated(id);
  }
}
