import type { EndpointId, GatewayEndpoint, MonotonicMs, ServiceId } from '@savorywind/model';
import type { EndpointChange } from './types.js';

/**
 * The registered endpoints. While the store is in trouble registrations lapse although their
 * endpoints live; so one that vanishes then is kept until the time to register again is over.
 */
export class EndpointTable {
  private readonly endpoints = new Map<EndpointId, GatewayEndpoint>();

  /** Vanished registrations that may come back until the store has been back for a while. */
  private readonly lapsed = new Set<EndpointId>();

  private hasRead = false;

  private troubledUntilMs: MonotonicMs = 0;

  private storeAway = false;

  constructor(
    private readonly reregistrationMs: number,
    private readonly onForgotten: (endpoint: EndpointId) => void,
  ) {}

  /** Whether the registrations have been read once. */
  get isKnown(): boolean {
    return this.hasRead;
  }

  /** The store does not answer, or answers that it can't. */
  reportStoreAway(): void {
    this.storeAway = true;
  }

  reportStoreBack(nowMs: MonotonicMs): void {
    if (!this.storeAway) return;
    this.storeAway = false;
    this.troubledUntilMs = nowMs + this.reregistrationMs;
  }

  /** Takes all registrations; what is missing is gone. */
  replaceAll(endpoints: readonly GatewayEndpoint[], nowMs: MonotonicMs): void {
    const present = new Set(endpoints.map(({ id }) => id));
    [...this.endpoints.keys()]
      .filter((id) => !present.has(id))
      .forEach((id) => this.removeOrKeep(id, nowMs));
    endpoints.forEach((endpoint) => this.set(endpoint));
    this.hasRead = true;
  }

  apply(changes: readonly EndpointChange[], nowMs: MonotonicMs): void {
    changes.forEach(({ id, endpoint }) => {
      if (endpoint === undefined) this.removeOrKeep(id, nowMs);
      else this.set(endpoint);
    });
  }

  /** Forgets registrations that were waited for in vain. */
  expire(nowMs: MonotonicMs): void {
    if (this.storeAway || nowMs < this.troubledUntilMs) return;
    this.lapsed.forEach((id) => this.forget(id));
  }

  /** When `expire` has something to do. */
  get nextExpiryMs(): MonotonicMs | undefined {
    return this.storeAway || this.lapsed.size === 0 ? undefined : this.troubledUntilMs;
  }

  find(id: EndpointId): GatewayEndpoint | undefined {
    return this.endpoints.get(id);
  }

  /** Whether an endpoint may get new work. */
  isServing(id: EndpointId): boolean {
    return this.endpoints.get(id)?.state === 'serving';
  }

  listServing(service: ServiceId): GatewayEndpoint[] {
    return [...this.endpoints.values()].filter(
      (endpoint) => endpoint.service === service && endpoint.state === 'serving',
    );
  }

  private set(endpoint: GatewayEndpoint): void {
    const known = this.endpoints.get(endpoint.id);
    this.lapsed.delete(endpoint.id);
    this.endpoints.set(endpoint.id, endpoint);
    if (known !== undefined && known.startedAtMs !== endpoint.startedAtMs) {
      this.onForgotten(endpoint.id);
    }
  }

  private removeOrKeep(id: EndpointId, nowMs: MonotonicMs): void {
    if (!this.endpoints.has(id)) return;
    if (!this.storeAway && nowMs >= this.troubledUntilMs) this.forget(id);
    else this.lapsed.add(id);
  }

  private forget(id: EndpointId): void {
    this.endpoints.delete(id);
    this.lapsed.delete(id);
    this.onForgotten(id);
  }
}
