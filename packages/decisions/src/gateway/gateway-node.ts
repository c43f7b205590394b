import {
  logEvents,
  type CallerPatience,
  type EndpointId,
  type GatewayConfiguration,
  type GatewayContract,
  type GatewayPeer,
  type MonotonicMs,
  type Route,
} from '@savorywind/model';
import type { Timer } from '../timers/timer-queue.js';
import { LEASE_MARGIN_MS, SNAPSHOT_DELAY_MS, SNAPSHOT_REPEAT_MS } from './consts.js';
import { CredentialLease } from './credential-lease.js';
import { DomainReach } from './domain-reach.js';
import { EndpointHealth } from './endpoint-health.js';
import { EndpointTable } from './endpoint-table.js';
import { FleetPicture } from './fleet-picture.js';
import { FleetRetryBudget, type FleetRetryBudgetOptions } from './fleet-retry-budget.js';
import { GatewayContext } from './gateway-context.js';
import type { ResolvedRoute } from './create-record.js';
import { GatewayRequests } from './gateway-requests.js';
import { measureRefused } from './measure-request.js';
import { MemoryReservations } from './memory-reservations.js';
import { PlacementDesk } from './placement-desk.js';
import { RouteIndex } from './route-index.js';
import type { GatewayEffect, GatewayEvent, GatewayRefusalReason, GatewayRequest } from './types.js';

export interface GatewayNodeOptions {
  readonly self: GatewayPeer;
  /** Start of this process, Unix milliseconds. */
  readonly incarnation: number;
  readonly seed: number;
  readonly contract: GatewayContract;
}

type EventHandlers = {
  readonly [Kind in GatewayEvent['kind']]: (
    event: Extract<GatewayEvent, { readonly kind: Kind }>,
  ) => void;
};

/**
 * Time from the order to stop during which requests are still taken: the balancer asks once a second
 * and needs two misses. What is taken later might not end before the process is killed.
 */
const STOP_NOTICE_MS = 2_900;

/** Callers that are turned away because nothing is known yet come back after this time. */
const NOT_READY_RETRY_MS = 500;

const estimateLeaseMs = ({ credentialFreshnessMs }: GatewayContract): number =>
  credentialFreshnessMs - LEASE_MARGIN_MS;

const createBudgetOptions = (contract: GatewayContract): FleetRetryBudgetOptions => ({
  ratio: contract.retryRatio,
  allowance: contract.retryAllowance,
  windowMs: contract.retryWindowMs,
});

/**
 * All decisions of one entry VM that serves routes: an event in, effects out. Holds no socket and
 * reads no clock.
 *
 * @example
 * const node = new GatewayNode({ self, incarnation: 1, seed: 1, contract });
 * const effects = node.handle({ kind: 'request.arrived', request }, clock.readMs());
 * // carry the effects out, and hand in { kind: 'woken' } at node.nextWakeMs()
 */
export class GatewayNode {
  private readonly context: GatewayContext;

  private readonly lease: CredentialLease;

  private readonly table: EndpointTable;

  private readonly health = new EndpointHealth();

  private readonly picture: FleetPicture;

  private readonly budget: FleetRetryBudget;

  private readonly reservations: MemoryReservations;

  private readonly requests: GatewayRequests;

  private readonly handlers: EventHandlers;

  private index: RouteIndex | undefined;

  private isReady = false;

  private stoppingSinceMs: MonotonicMs | undefined;

  private snapshotTimer: Timer | undefined;

  private repeatTimer: Timer | undefined;

  private expiryTimer: Timer | undefined;

  private storeAway = false;

  constructor(options: GatewayNodeOptions) {
    const { self, incarnation, contract } = options;
    this.context = new GatewayContext(`${self.id}.${incarnation}`, options.seed);
    this.lease = new CredentialLease(estimateLeaseMs(contract));
    this.table = new EndpointTable(contract.reregistrationMs, (id) => this.forgetEndpoint(id));
    this.picture = new FleetPicture(self, incarnation);
    this.budget = new FleetRetryBudget(createBudgetOptions(contract));
    this.reservations = new MemoryReservations(this.context, contract);
    this.requests = this.createRequests(self, contract.patience);
    this.handlers = this.createHandlers();
  }

  handle(event: GatewayEvent, nowMs: MonotonicMs): GatewayEffect[] {
    this.context.nowMs = nowMs;
    const handler = this.handlers[event.kind] as (event: GatewayEvent) => void;
    handler(event);
    // What has come counts before what is due: after a pause of the process both are there at once.
    this.context.runDueTimers();
    this.armExpiryTimer();
    this.updateReadiness();
    return this.context.takeEffects();
  }

  nextWakeMs(): MonotonicMs | undefined {
    return this.context.nextWakeMs();
  }

  private createRequests(self: GatewayPeer, patience: CallerPatience): GatewayRequests {
    const { context, table, health, picture, budget, reservations } = this;
    const { failureDomain } = self;
    const reach = new DomainReach(picture);
    const desk = new PlacementDesk({ context, table, health, picture, reach, failureDomain });
    return new GatewayRequests({
      context,
      table,
      health,
      reach,
      picture,
      budget,
      desk,
      reservations,
      patience,
      onWorkChanged: () => this.armSnapshotTimer(SNAPSHOT_DELAY_MS),
      onIdle: () => this.stopIfDone(),
    });
  }

  private createHandlers(): EventHandlers {
    const { requests } = this;
    return {
      woken: () => {},
      drainRequested: () => this.startStopping(),
      'time.lost': ({ lostMs }) => this.lease.reduce(lostMs),
      'contract.changed': ({ contract }) => {
        this.lease.changeDuration(estimateLeaseMs(contract));
        this.budget.changeOptions(createBudgetOptions(contract));
        this.context.log(logEvents.contractChanged);
      },
      'configuration.confirmed': (event) => {
        if (event.configuration !== undefined) this.adopt(event.configuration);
        if (this.index !== undefined) this.lease.renew(event.askedAtMs);
        this.acceptStoreAnswer();
      },
      'endpoints.read': ({ endpoints }) => {
        this.acceptStoreAnswer();
        this.table.replaceAll(endpoints, this.context.nowMs);
      },
      'endpoints.changed': ({ changes }) => {
        this.acceptStoreAnswer();
        this.table.apply(changes, this.context.nowMs);
      },
      'store.failed': ({ detail }) => this.acceptStoreFailure(detail),
      'peers.read': ({ peers }) => {
        peers.forEach((peer) => this.picture.addPeer(peer));
        this.budget.setVmCount(this.picture.vmCount);
        this.armSnapshotTimer(0);
      },
      'peer.received': ({ snapshot }) => {
        this.picture.acceptSnapshot(snapshot, this.context.nowMs);
      },
      'request.arrived': ({ request }) => this.acceptRequest(request),
      'request.abandoned': ({ requestId }) => requests.abandon(requestId),
      'attempt.headReceived': ({ attemptId, head }) => requests.acceptHead(attemptId, head),
      'attempt.eventPassed': ({ attemptId, eventId }) => requests.acceptEvent(attemptId, eventId),
      'attempt.flowChanged': ({ attemptId, flow }) => requests.acceptFlow(attemptId, flow),
      'attempt.ended': ({ attemptId }) => requests.acceptEnd(attemptId),
      'attempt.failed': (event) => requests.acceptFailure(event),
      'reservation.answered': ({ reservationId, outcome }) =>
        this.reservations.acceptOutcome(reservationId, outcome),
    };
  }

  private adopt(configuration: GatewayConfiguration): void {
    if (this.index !== undefined && configuration.version <= this.index.version) return;
    this.index = new RouteIndex(configuration);
    this.context.emit({ kind: 'callerLimits.changed', limits: configuration.callerLimits });
    this.context.log(logEvents.routesAdopted, {
      version: configuration.version,
      routes: configuration.routes.length,
    });
  }

  private acceptStoreAnswer(): void {
    this.table.reportStoreBack(this.context.nowMs);
    if (!this.storeAway) return;
    this.storeAway = false;
    this.context.log(logEvents.storeRegained);
  }

  private acceptStoreFailure(detail: string): void {
    this.table.reportStoreAway();
    if (this.storeAway) return;
    this.storeAway = true;
    this.context.log(logEvents.storeLost, { detail });
  }

  private acceptRequest(request: GatewayRequest): void {
    const resolved = this.resolve(request);
    if (this.hasStopped()) this.refuse(request, 'notReady');
    else if (typeof resolved === 'string') this.refuse(request, resolved);
    else this.requests.admit(request, resolved);
  }

  private resolve(request: GatewayRequest): ResolvedRoute | GatewayRefusalReason {
    const { index } = this;
    if (index === undefined || !this.table.isKnown) return 'notReady';
    const route = index.findRoute(request.host, request.path);
    if (route === undefined) return 'noRoute';
    const asksCredential = index.asksCredentials && !route.anonymous;
    if (asksCredential && !this.lease.isValid(this.context.nowMs)) return 'credentialsStale';
    const team = index.findTeam(request.credential);
    if (asksCredential && team === undefined) return 'wrongCredential';
    const service = index.findService(this.drawService(route));
    if (service === undefined) return 'noEndpoint';
    const tightestGapMs = index.findTightestGapMs(service.name);
    return { route, service, team: asksCredential ? team : undefined, tightestGapMs };
  }

  private drawService(route: Route): string {
    const total = route.shares.reduce((sum, { weight }) => sum + weight, 0);
    let lot = this.context.drawRandom() * total;
    const share = route.shares.find(({ weight }) => {
      lot -= weight;
      return lot < 0;
    });
    return (share ?? route.shares[0])?.service ?? '';
  }

  private refuse(request: GatewayRequest, reason: GatewayRefusalReason): void {
    const isFinal = reason === 'noRoute' || reason === 'wrongCredential';
    const retryAfterMs = isFinal ? undefined : NOT_READY_RETRY_MS;
    this.context.log(logEvents.requestTurnedAway, { request: request.callerAttempt, reason });
    this.context.emit({ kind: 'request.measured', measured: measureRefused(request, reason) });
    this.context.emit({
      kind: 'caller.refuse',
      requestId: request.requestId,
      refusal: { reason, retryAfterMs },
    });
  }

  private forgetEndpoint(endpoint: EndpointId): void {
    this.health.remove(endpoint);
    this.context.log(logEvents.endpointForgotten, { endpoint });
    this.context.emit({ kind: 'endpoint.forgotten', endpoint });
  }

  private armSnapshotTimer(delayMs: number): void {
    if (this.snapshotTimer !== undefined) return;
    this.snapshotTimer = this.context.schedule(delayMs, () => this.sendSnapshot());
    this.repeatTimer?.cancel();
  }

  private sendSnapshot(): void {
    const { context, picture } = this;
    this.snapshotTimer = undefined;
    this.repeatTimer?.cancel();
    this.repeatTimer = context.schedule(SNAPSHOT_REPEAT_MS, () => this.sendSnapshot());
    const peers = picture.takeRecipients(context.nowMs);
    if (peers.length === 0) return;
    context.emit({ kind: 'peers.send', snapshot: picture.createSnapshot(context.nowMs), peers });
  }

  private armExpiryTimer(): void {
    const { nextExpiryMs } = this.table;
    this.expiryTimer?.cancel();
    if (nextExpiryMs === undefined) return;
    this.expiryTimer = this.context.schedule(nextExpiryMs - this.context.nowMs, () =>
      this.table.expire(this.context.nowMs),
    );
  }

  private updateReadiness(): void {
    const { nowMs } = this.context;
    const knows = this.index !== undefined && this.table.isKnown && this.lease.isValid(nowMs);
    const ready = knows && this.stoppingSinceMs === undefined;
    if (ready === this.isReady) return;
    this.isReady = ready;
    this.context.emit({ kind: 'readiness', ready });
    this.context.log(ready ? logEvents.gatewayReady : logEvents.gatewayNotReady);
  }

  private startStopping(): void {
    if (this.stoppingSinceMs !== undefined) return;
    this.stoppingSinceMs = this.context.nowMs;
    this.context.schedule(STOP_NOTICE_MS, () => {
      this.context.emit({ kind: 'callers.close' });
      this.stopIfDone();
    });
  }

  private hasStopped(): boolean {
    const { stoppingSinceMs } = this;
    return stoppingSinceMs !== undefined && this.context.nowMs >= stoppingSinceMs + STOP_NOTICE_MS;
  }

  private stopIfDone(): void {
    if (!this.hasStopped() || this.requests.inFlight > 0) return;
    this.context.emit({ kind: 'drained' });
  }
}
