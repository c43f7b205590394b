import type {
  EndpointId,
  GatewayEndpoint,
  GatewayPeer,
  MonotonicMs,
  PermitAnswer,
} from '@savorywind/model';
import type { GatewayContext } from '../gateway-context.js';
import type { EndpointLimits } from './endpoint-limits.js';
import type { ColdShares } from './cold-shares.js';
import type { PermitDecision } from './permit-account.js';
import type { PermitCoordinator } from './permit-coordinator.js';

/** State of the permit for the next request to one endpoint. */
type PermitState =
  | {
      readonly kind: 'requested';
      readonly permitId: string;
      readonly requestedAtMs: MonotonicMs;
    }
  | {
      readonly kind: 'granted';
      readonly usableAtMs: MonotonicMs;
      readonly expiresAtMs: MonotonicMs;
    }
  | { readonly kind: 'denied'; readonly retryAtMs: MonotonicMs };

export interface PermitHolderOptions {
  readonly context: GatewayContext;
  readonly self: GatewayPeer;
  readonly limits: EndpointLimits;
  readonly coordinator: PermitCoordinator;
  readonly coldShares: ColdShares;
  /** Called when a permit was granted by a peer. */
  readonly onGranted: () => void;
}

/** An answer that takes longer is lost: covers many round trips between failure domains. */
const ANSWER_TIMEOUT_MS = 250;

/**
 * Time for which a permit can be used. Permits that were granted in five seconds can so arrive within
 * four, one and a quarter times what a limit allows; the users' contract tolerates one and a half times.
 */
const PERMIT_LIFETIME_MS = 1_000;

/** Longest time for which a permit is requested in advance. */
const MAX_PERMIT_DELAY_MS = 1_000;

/** Time until another entry VM is the coordinator of an endpoint whose coordinator can't be found. */
const NO_COORDINATOR_RETRY_MS = 500;

/**
 * The permits of this entry VM. An endpoint with a limit gets a request only with a permit of its
 * coordinator; at most one for each endpoint is requested or held. A cold endpoint gets no more than this
 * entry VM's share.
 *
 * @example
 * if (permits.mayUse('engine-1')) permits.use('engine-1');
 */
export class PermitHolder {
  private readonly states = new Map<EndpointId, PermitState>();

  private readonly endpointByPermit = new Map<string, EndpointId>();

  constructor(private readonly options: PermitHolderOptions) {}

  /** Whether a request may be sent to an endpoint now. */
  mayUse(endpoint: EndpointId): boolean {
    const { limits, context, coldShares } = this.options;
    if (!coldShares.mayUse(endpoint)) return false;
    if (limits.find(endpoint) === undefined) return true;
    const state = this.states.get(endpoint);
    return state?.kind === 'granted' && this.isUsable(state, context.nowMs);
  }

  /** Uses up the permit for an endpoint, if it has a limit. */
  use(endpoint: EndpointId): void {
    if (this.options.limits.find(endpoint) !== undefined) this.remove(endpoint);
  }

  /**
   * Requests permits for endpoints with limits.
   *
   * @param endpoints endpoints with limits, the preferred ones first
   * @param wanted permits that waiting requests can use, with those requested or held
   * @param maxDelayMs longest useful time until a permit can be used
   * @returns whether a permit can be used at once
   */
  request(endpoints: readonly GatewayEndpoint[], wanted: number, maxDelayMs: number): boolean {
    const pending = endpoints.filter(({ id }) => this.isPending(id)).length;
    const available = endpoints.filter(({ id }) => this.mayRequest(id));
    available
      .slice(0, Math.max(0, wanted - pending))
      .forEach((endpoint) => this.requestOne(endpoint, Math.min(maxDelayMs, MAX_PERMIT_DELAY_MS)));
    return available.some(({ id }) => this.mayUse(id));
  }

  /** Finds the earliest time at which one of several endpoints may get a request, as far as known. */
  findEarliestMs(endpoints: readonly GatewayEndpoint[]): MonotonicMs {
    const { coldShares } = this.options;
    const times = endpoints.map(({ id }) =>
      Math.max(this.findUsableMs(id), coldShares.findUsableMs(id)),
    );
    return Math.min(...times);
  }

  handleAnswer({ permitId, outcome, delayMs }: PermitAnswer): void {
    const endpoint = this.endpointByPermit.get(permitId);
    if (endpoint === undefined) return;
    const state = this.states.get(endpoint);
    if (state?.kind !== 'requested') return;
    this.settle(endpoint, { outcome, delayMs }, state.requestedAtMs);
    if (outcome === 'granted') this.options.onGranted();
  }

  /** Forgets all permits: after a suspension it is not known which have expired. */
  clear(): void {
    this.states.clear();
    this.endpointByPermit.clear();
  }

  /** Forgets the permit for an endpoint. */
  remove(endpoint: EndpointId): void {
    const state = this.states.get(endpoint);
    if (state?.kind === 'requested') this.endpointByPermit.delete(state.permitId);
    this.states.delete(endpoint);
  }

  // eslint-disable-next-line class-methods-use-this
  private isUsable(
    { usableAtMs, expiresAtMs }: Extract<PermitState, { kind: 'granted' }>,
    nowMs: MonotonicMs,
  ): boolean {
    return usableAtMs <= nowMs && nowMs < expiresAtMs;
  }

  private isPending(endpoint: EndpointId): boolean {
    const { nowMs } = this.options.context;
    const state = this.states.get(endpoint);
    if (state?.kind === 'requested') return nowMs < state.requestedAtMs + ANSWER_TIMEOUT_MS;
    return state?.kind === 'granted' && nowMs < state.expiresAtMs;
  }

  private mayRequest(endpoint: EndpointId): boolean {
    const state = this.states.get(endpoint);
    if (state?.kind === 'denied') return this.options.context.nowMs >= state.retryAtMs;
    return !this.isPending(endpoint);
  }

  private findUsableMs(endpoint: EndpointId): MonotonicMs {
    const { nowMs } = this.options.context;
    const state = this.states.get(endpoint);
    if (state?.kind === 'denied') return Math.max(nowMs, state.retryAtMs);
    if (state?.kind === 'granted') return Math.max(nowMs, state.usableAtMs);
    return nowMs;
  }

  private requestOne(endpoint: GatewayEndpoint, maxDelayMs: number): void {
    const { context, self, limits, coordinator } = this.options;
    const found = coordinator.find(endpoint);
    const limit = limits.describe(endpoint.id);
    this.remove(endpoint.id);
    if (found === undefined) {
      const retryAtMs = context.nowMs + NO_COORDINATOR_RETRY_MS;
      this.states.set(endpoint.id, { kind: 'denied', retryAtMs });
    } else if (found.peer.id === self.id) {
      this.settle(endpoint.id, coordinator.decide({ limit, maxDelayMs }), context.nowMs);
    } else {
      const permitId = context.createId();
      this.endpointByPermit.set(permitId, endpoint.id);
      const requestedAtMs = context.nowMs;
      this.states.set(endpoint.id, { kind: 'requested', permitId, requestedAtMs });
      const request = { permitId, replyTo: self.address, limit, maxDelayMs };
      context.emit({ kind: 'permit.request', request, to: found.peer.address });
    }
  }

  /** Takes over an answer. A permit expires by the time of its request, so that delays shorten it. */
  private settle(
    endpoint: EndpointId,
    { outcome, delayMs }: PermitDecision,
    requestedAtMs: MonotonicMs,
  ): void {
    this.remove(endpoint);
    const usableAtMs = this.options.context.nowMs + delayMs;
    if (outcome === 'denied') {
      this.states.set(endpoint, { kind: 'denied', retryAtMs: usableAtMs });
    } else {
      const expiresAtMs = requestedAtMs + delayMs + PERMIT_LIFETIME_MS;
      this.states.set(endpoint, { kind: 'granted', usableAtMs, expiresAtMs });
    }
  }
}
