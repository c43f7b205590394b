import type { EndpointId, GatewayEndpoint, MonotonicMs, ServiceId } from '@savorywind/model';
import { GoneEndpoints } from './gone-endpoints.js';
import type { EndpointChange, EndpointProcess } from './types.js';

/** An endpoint that left, or announced that it leaves. */
interface Departure {
  /** Start of the process that left; undefined if it is not known. */
  readonly startedAtMs: number | undefined;
  readonly atMs: MonotonicMs;
}

/**
 * Time for which a departure is remembered. An older copy of the store is some seconds old, and the store
 * may come back from it some seconds later.
 */
const DEPARTURE_MEMORY_MS = 60_000;

/**
 * Time from the begin of an era of the store, or from the end of an outage during it, for which
 * registrations of departed endpoints are not believed. By then the registration of an endpoint that has
 * gone has expired, as nobody renews it, and this VM has heard of that.
 */
const WITHHOLD_MS = 10_000;

export interface EndpointTableListener {
  /** Called when an endpoint has lost its registration, or another process has it. */
  readonly onUnregistered: (endpoint: EndpointId) => void;
  /**
   * Called when what is known of the process of an endpoint is over: another process is registered under its
   * id, or it has been gone for too long.
   */
  readonly onForgotten: (endpoint: EndpointId) => void;
}

const isEarlierStart = (a: number | undefined, b: number | undefined): boolean =>
  a !== undefined && b !== undefined && a < b;

/**
 * The registered endpoints. During an outage of the store, registrations expire although their
 * endpoints are alive. An endpoint whose registration disappears during the outage, or within
 * `reregistrationMs` after it, is therefore retained until that time has passed, unless the store turns out
 * to have been there all the while.
 *
 * A store that has come back from an older copy of itself begins a new era. Registrations that the copy
 * lacks are retained as after an outage. Those of endpoints that had left or announced that they leave are
 * withheld until they change in the new era, start anew, or are still there after `WITHHOLD_MS` in which
 * the store answers. The registration of an earlier process under the same id is ignored.
 *
 * A removed endpoint is remembered for a while: if the same process comes back, what is known of it still holds.
 */
export class EndpointTable {
  private readonly endpoints = new Map<EndpointId, GatewayEndpoint>();

  /** Endpoints whose registration disappeared during an outage of the store or soon after it. */
  private readonly retained = new Set<EndpointId>();

  private readonly gone: GoneEndpoints;

  private readonly departures = new Map<EndpointId, Departure>();

  /** Registrations of departed endpoints that the store's copy still has. */
  private readonly withheld = new Map<EndpointId, GatewayEndpoint>();

  /** Endpoints whose registration has changed in this era while departures are withheld. */
  private readonly changedInEra = new Set<EndpointId>();

  private withheldUntilMs = Number.NEGATIVE_INFINITY;

  private hasLoaded = false;

  /** Until when missing registrations are retained after an outage of the store. */
  private outageGraceEndsAtMs: MonotonicMs = 0;

  /** Until when missing registrations are retained after the begin of an era. */
  private eraGraceEndsAtMs: MonotonicMs = 0;

  private isStoreUnavailable = false;

  constructor(
    /** Time within which live endpoints register again after an outage of the store. */
    private reregistrationMs: number,
    private readonly listener: EndpointTableListener,
  ) {
    this.gone = new GoneEndpoints(listener.onForgotten);
  }

  /** Whether the registrations have been read at least once. */
  get isLoaded(): boolean {
    return this.hasLoaded;
  }

  /** Records that a call to the store got no response or failed. */
  reportStoreUnavailable(): void {
    this.isStoreUnavailable = true;
  }

  /**
   * @param mayHaveExpired whether the store itself may have been away; false if only this entry VM was cut
   *   off from it, so that registrations did not expire
   */
  reportStoreAvailable(nowMs: MonotonicMs, mayHaveExpired: boolean): void {
    if (!this.isStoreUnavailable) return;
    this.isStoreUnavailable = false;
    if (mayHaveExpired) this.outageGraceEndsAtMs = nowMs + this.reregistrationMs;
    if (this.withheld.size > 0) this.withheldUntilMs = nowMs + WITHHOLD_MS;
  }

  /** Handles that the store was there while this entry VM could not reach it: no registration expired. */
  endOutageGrace(nowMs: MonotonicMs): void {
    this.outageGraceEndsAtMs = Math.min(this.outageGraceEndsAtMs, nowMs);
    this.expire(nowMs);
  }

  changeReregistration(reregistrationMs: number): void {
    this.reregistrationMs = reregistrationMs;
  }

  /** Handles that the store has come back from an older copy of itself. */
  handleEraRaised(nowMs: MonotonicMs): void {
    this.eraGraceEndsAtMs = nowMs + this.reregistrationMs;
    this.withheldUntilMs = nowMs + WITHHOLD_MS;
    this.withheld.clear();
    this.changedInEra.clear();
    this.endpoints.forEach((endpoint) => {
      if (endpoint.state === 'leaving') this.recordDeparture(endpoint, nowMs);
    });
  }

  /** Replaces all registrations; endpoints missing from the list are removed or retained. */
  setAll(endpoints: readonly GatewayEndpoint[], nowMs: MonotonicMs): void {
    const present = new Set(endpoints.map(({ id }) => id));
    [...this.endpoints.keys()]
      .filter((id) => !present.has(id))
      .forEach((id) => this.removeOrRetain(id, nowMs));
    endpoints.forEach((endpoint) => {
      if (this.mayBelieve(endpoint, nowMs)) this.set(endpoint, nowMs);
    });
    this.hasLoaded = true;
  }

  apply(changes: readonly EndpointChange[], nowMs: MonotonicMs): void {
    changes.forEach(({ id, endpoint }) => {
      this.withheld.delete(id);
      if (nowMs < this.withheldUntilMs) this.changedInEra.add(id);
      if (endpoint === undefined) this.removeOrRetain(id, nowMs);
      else this.set(endpoint, nowMs);
    });
  }

  /**
   * Removes the retained endpoints that did not register again in time, and believes the registrations
   * that were withheld for long enough.
   */
  expire(nowMs: MonotonicMs): void {
    if (this.isStoreUnavailable) return;
    if (nowMs >= this.graceEndsAtMs) this.retained.forEach((id) => this.remove(id, nowMs));
    if (nowMs < this.withheldUntilMs) return;
    const withheld = [...this.withheld.values()];
    this.withheld.clear();
    withheld.forEach((endpoint) => this.set(endpoint, nowMs));
  }

  /** When `expire` has something to do next; undefined if it has nothing to do. */
  get nextExpiryMs(): MonotonicMs | undefined {
    if (this.isStoreUnavailable) return undefined;
    const retainedMs = this.retained.size === 0 ? Number.POSITIVE_INFINITY : this.graceEndsAtMs;
    const withheldMs = this.withheld.size === 0 ? Number.POSITIVE_INFINITY : this.withheldUntilMs;
    const nextMs = Math.min(retainedMs, withheldMs);
    return nextMs === Number.POSITIVE_INFINITY ? undefined : nextMs;
  }

  private get graceEndsAtMs(): MonotonicMs {
    return Math.max(this.outageGraceEndsAtMs, this.eraGraceEndsAtMs);
  }

  find(id: EndpointId): GatewayEndpoint | undefined {
    return this.endpoints.get(id);
  }

  /** Finds an endpoint that is registered, or gone and remembered. */
  findKnown(id: EndpointId): GatewayEndpoint | undefined {
    return this.endpoints.get(id) ?? this.gone.find(id);
  }

  /** Whether a process is the known one of its endpoint, as far as both say when they started. */
  isKnown({ id, startedAtMs }: EndpointProcess): boolean {
    const known = this.findKnown(id);
    if (known === undefined) return false;
    const isUnsaid = startedAtMs === undefined || known.startedAtMs === undefined;
    return isUnsaid || startedAtMs === known.startedAtMs;
  }

  /** Lists the endpoints of a service whose process is known: registered ones and those that are gone. */
  listKnown(service: ServiceId): GatewayEndpoint[] {
    const known = [...this.endpoints.values(), ...this.gone.list()];
    return known.filter((endpoint) => endpoint.service === service);
  }

  listIds(): EndpointId[] {
    return [...this.endpoints.keys()];
  }

  listServing(service: ServiceId): GatewayEndpoint[] {
    return [...this.endpoints.values()].filter(
      (endpoint) => endpoint.service === service && endpoint.state === 'serving',
    );
  }

  /**
   * Whether a registration that was read with all others says what holds now. One of a departed endpoint is
   * withheld for a while after the begin of an era.
   */
  private mayBelieve(endpoint: GatewayEndpoint, nowMs: MonotonicMs): boolean {
    const { id, startedAtMs } = endpoint;
    if (nowMs >= this.withheldUntilMs || this.changedInEra.has(id)) return true;
    if (isEarlierStart(startedAtMs, this.endpoints.get(id)?.startedAtMs)) return false;
    const departure = this.departures.get(id);
    if (departure === undefined || isEarlierStart(departure.startedAtMs, startedAtMs)) return true;
    this.withheld.set(id, endpoint);
    return false;
  }

  private set(endpoint: GatewayEndpoint, nowMs: MonotonicMs): void {
    const { id } = endpoint;
    const registered = this.endpoints.get(id);
    const previous = registered ?? this.gone.take(id, nowMs);
    this.retained.delete(id);
    this.endpoints.set(id, endpoint);
    if (previous === undefined || previous.startedAtMs === endpoint.startedAtMs) return;
    if (registered !== undefined) this.listener.onUnregistered(id);
    this.listener.onForgotten(id);
  }

  private removeOrRetain(id: EndpointId, nowMs: MonotonicMs): void {
    if (!this.endpoints.has(id)) return;
    if (!this.isStoreUnavailable && nowMs >= this.graceEndsAtMs) this.remove(id, nowMs);
    else this.retained.add(id);
  }

  private recordDeparture({ id, startedAtMs }: GatewayEndpoint, nowMs: MonotonicMs): void {
    this.departures.forEach(({ atMs }, departed) => {
      if (nowMs - atMs > DEPARTURE_MEMORY_MS) this.departures.delete(departed);
    });
    this.departures.set(id, { startedAtMs, atMs: nowMs });
  }

  private remove(id: EndpointId, nowMs: MonotonicMs): void {
    const endpoint = this.endpoints.get(id);
    this.endpoints.delete(id);
    this.retained.delete(id);
    if (endpoint === undefined) return;
    this.recordDeparture(endpoint, nowMs);
    this.listener.onUnregistered(id);
    this.gone.add(endpoint, nowMs);
  }
}
