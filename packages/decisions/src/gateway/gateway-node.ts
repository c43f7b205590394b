import {
  logEvents,
  type CallerWaitLimits,
  type ColdTraits,
  type EndpointId,
  type GatewayConfiguration,
  type GatewayContract,
  type GatewayPeer,
  type MonotonicMs,
  type Route,
  type ServiceId,
  type WorkSnapshot,
} from '@savorywind/model';
import type { Timer } from '../timers/timer-queue.js';
import {
  EndpointAvailability,
  type AvailabilityUsage,
} from './availability/endpoint-availability.js';
import type { EvacuationUsage } from './availability/evacuated-domains.js';
import { LEASE_MARGIN_MS } from './consts.js';
import { ConfigurationProof } from './configuration-proof.js';
import { CredentialLease } from './credential-lease.js';
import { DomainReachability } from './domain-reachability.js';
import { ColdEndpoints, type ColdUsage } from './permits/cold-endpoints.js';
import { ColdShares } from './permits/cold-shares.js';
import { EndpointLimits, type LimitUsage } from './permits/endpoint-limits.js';
import { MAX_SHARED_PARTS } from './harm/consts.js';
import { HarmfulRequests } from './harm/harmful-requests.js';
import type { HarmUsage } from './harm/types.js';
import { EndpointHealth } from './endpoint-health.js';
import { MAX_RECEIVED_REQUESTS } from './forwarding/consts.js';
import { RequestForwarder } from './forwarding/request-forwarder.js';
import type { ForwardedFrom, ForwardingOutcome, ForwardingUsage } from './forwarding/types.js';
import { EndpointTable } from './endpoint-table.js';
import { FleetLoadTracker } from './fleet-load-tracker.js';
import { FleetRetryBudget, type FleetRetryBudgetOptions } from './fleet-retry-budget.js';
import { GatewayContext } from './gateway-context.js';
import type { ResolvedRoute } from './create-gateway-record.js';
import { GatewayRequests } from './gateway-requests.js';
import { measureRefused } from './measure-request.js';
import { MemoryReservations } from './memory-reservations.js';
import type { PathUsage } from './path/endpoint-path.js';
import { EndpointProbes } from './path/endpoint-probes.js';
import { EndpointPaths } from './path/endpoint-paths.js';
import { PermitCoordinator } from './permits/permit-coordinator.js';
import { PermitHolder } from './permits/permit-holder.js';
import { PermittedPlacement } from './permits/permitted-placement.js';
import { PlacementPolicy } from './placement/placement-policy.js';
import { RouteIndex } from './route-index.js';
import { SnapshotSender } from './snapshot-sender.js';
import { StoreContact } from './store-contact.js';
import { TableSources } from './table-reads/table-sources.js';
import type {
  GatewayEffect,
  GatewayEvent,
  GatewayRefusalReason,
  GatewayRequest,
  StoreReadTime,
} from './types.js';

export interface GatewayNodeOptions {
  readonly self: GatewayPeer;
  /** Start time of this process, Unix milliseconds. */
  readonly incarnation: number;
  /** Seed of the random numbers, so that runs can be repeated. */
  readonly seed: number;
  readonly contract: GatewayContract;
}

type EventOf<Kind extends GatewayEvent['kind']> = Extract<GatewayEvent, { readonly kind: Kind }>;

type EventHandlers = {
  readonly [Kind in GatewayEvent['kind']]: (
    event: Extract<GatewayEvent, { readonly kind: Kind }>,
  ) => void;
};

/**
 * Time from the drain request during which new requests are still admitted: the load balancer
 * checks readiness once a second and needs two failed checks. Requests admitted later might not
 * finish before the process is killed.
 */
const DRAIN_NOTICE_MS = 2_900;

/**
 * Retry-after time of requests that are refused before admission for a temporary reason, such as a
 * configuration that has not been read yet.
 */
const NOT_READY_RETRY_AFTER_MS = 500;

/** Reasons for which a request would be refused again. */
const FINAL_REFUSALS: ReadonlySet<GatewayRefusalReason> = new Set([
  'noRoute',
  'wrongCredential',
  'tooManyParts',
]);

/**
 * Time over which entry VMs spread the renewal of their rows after the store came back from an older copy:
 * three calls of each of 330 VMs then stay below a third of what the store takes in a second.
 */
const RENEWAL_SPREAD_MS = 1_000;

const estimateLeaseMs = ({ credentialFreshnessMs }: GatewayContract): number =>
  credentialFreshnessMs - LEASE_MARGIN_MS;

/**
 * Fraction of the time in which an entry VM must act on the store's current state again for which it may
 * retain registrations that are missing after an outage. The rest is for noticing that the outage is over.
 */
const RETENTION_FRACTION = 0.75;

/** Least time between two readings of the peers because paths were lost, in milliseconds. */
const PEERS_READ_INTERVAL_MS = 5_000;

/** Outcome of a request that was refused before it was sent anywhere. */
const NOT_SENT: ForwardingOutcome = { hasRun: false, hasArrived: false, endpoint: undefined };

/** Time for which registrations that are missing after an outage are retained, in milliseconds. */
const computeRetentionMs = ({ reregistrationMs, resyncMs }: GatewayContract): number =>
  Math.min(reregistrationMs, RETENTION_FRACTION * resyncMs);

const createBudgetOptions = (contract: GatewayContract): FleetRetryBudgetOptions => ({
  ratio: contract.retryRatio,
  allowance: contract.retryAllowance,
  windowMs: contract.retryWindowMs,
});

/**
 * Makes all decisions of one entry VM that serves routes: it takes events and returns effects,
 * without sockets or a clock of its own.
 *
 * @example
 * const node = new GatewayNode({ self, incarnation: 1, seed: 1, contract });
 * const effects = node.handle({ kind: 'request.arrived', request }, clock.readMs());
 * // execute the effects, and pass { kind: 'woken' } at node.nextWakeMs()
 */
export class GatewayNode {
  private readonly context: GatewayContext;

  private readonly lease: CredentialLease;

  private readonly table: EndpointTable;

  /** Time after an older copy of the store by which what it lost is written again. */
  private readonly reregistrationMs: number;

  private readonly contact = new StoreContact();

  private readonly health: EndpointHealth;

  private readonly harmful: HarmfulRequests;

  private readonly limits: EndpointLimits;

  private readonly cold: ColdEndpoints;

  private readonly coldShares: ColdShares;

  private readonly availability: EndpointAvailability;

  private readonly paths: EndpointPaths;

  private readonly probes: EndpointProbes;

  private readonly coordinator: PermitCoordinator;

  private readonly permits: PermitHolder;

  private readonly fleetLoad: FleetLoadTracker;

  private readonly budget: FleetRetryBudget;

  private readonly reservations: MemoryReservations;

  private readonly snapshots: SnapshotSender;

  private readonly tableSources: TableSources;

  private readonly forwarder: RequestForwarder;

  /** Requests of peers that were received. */
  private receivedForwards = 0;

  private peersReadAtMs = Number.NEGATIVE_INFINITY;

  private readonly requests: GatewayRequests;

  private readonly handlers: EventHandlers;

  private readonly proof = new ConfigurationProof();

  /** The newest era of the store that is known; undefined if it names none. */
  private storeEra: number | undefined;

  /** The era in which the configuration was last proved to be current. */
  private provenEra: number | undefined;

  private routeIndex: RouteIndex | undefined;

  private isReady = false;

  /** From when on requests are refused because the process stops; undefined until it has to. */
  private closesAtMs: MonotonicMs | undefined;

  private isDrained = false;

  private expiryTimer: Timer | undefined;

  private renewalTimer: Timer | undefined;

  constructor(options: GatewayNodeOptions) {
    const { self, incarnation, contract } = options;
    this.context = new GatewayContext(`${self.id}.${incarnation}`, options.seed);
    this.lease = new CredentialLease(estimateLeaseMs(contract));
    this.reregistrationMs = contract.reregistrationMs;
    this.table = new EndpointTable(computeRetentionMs(contract), {
      onUnregistered: (endpoint) => this.handleUnregistered(endpoint),
      onForgotten: (endpoint) => this.removeEndpoint(endpoint),
    });
    this.availability = new EndpointAvailability({
      context: this.context,
      table: this.table,
      rewriteMs: contract.reregistrationMs,
      onClosed: (endpoint) => {
        this.requests.handleClosed(endpoint);
        this.snapshots.handleWorkChanged();
      },
      onEvacuationEnded: (domain) => this.cold.recordRestart(domain),
      onEvacuationChanged: () => this.requests.handleEvacuationChanged(),
    });
    this.probes = new EndpointProbes(this.context);
    this.paths = new EndpointPaths({
      context: this.context,
      table: this.table,
      mayProbe: (endpoint) => !this.availability.isEvacuated(endpoint),
      onLost: (service) => this.handlePathLost(service),
      onRegained: (service) => this.handlePathRegained(service),
    });
    this.fleetLoad = new FleetLoadTracker(self, incarnation);
    this.budget = new FleetRetryBudget(createBudgetOptions(contract));
    this.reservations = new MemoryReservations(this.context, contract, (id) =>
      this.availability.isOpen(id),
    );
    this.harmful = new HarmfulRequests({
      context: this.context,
      self,
      peers: this.fleetLoad.peers,
      onChanged: () => this.snapshots.handleWorkChanged(),
    });
    this.health = new EndpointHealth(this.table);
    this.limits = new EndpointLimits({
      context: this.context,
      table: this.table,
      onChanged: () => this.snapshots.handleWorkChanged(),
    });
    this.cold = new ColdEndpoints({
      context: this.context,
      table: this.table,
      findDurationMs: (service) => this.routeIndex?.findService(service)?.cold?.durationMs,
    });
    this.coldShares = this.createColdShares(self, contract);
    this.snapshots = new SnapshotSender(
      this.context,
      this.fleetLoad,
      (frequency) => ({
        limits: this.limits.listObservations(),
        leaving: this.availability.listObservations(),
        harm: this.harmful.listObservations(frequency),
        configuration: this.proof.describeNewest(this.context.nowMs),
        storeAvailableMs: this.contact.describe(this.context.nowMs),
        forwarding: {
          isAccepting: this.closesAtMs === undefined,
          lostServices: this.paths.listLost(),
        },
      }),
      contract.linkBytesPerMs,
    );
    this.tableSources = new TableSources({
      context: this.context,
      self,
      peers: this.fleetLoad.peers,
    });
    this.forwarder = new RequestForwarder({
      context: this.context,
      peers: this.fleetLoad.peers,
      paths: this.paths,
      failureDomain: self.failureDomain,
      readVersion: () => this.routeIndex?.version ?? 0,
    });
    this.coordinator = this.createCoordinator(self);
    this.permits = this.createPermits(self);
    this.requests = this.createRequests(self, contract.callerWait);
    this.handlers = this.createHandlers();
  }

  handle(event: GatewayEvent, nowMs: MonotonicMs): GatewayEffect[] {
    this.context.nowMs = nowMs;
    const handler = this.handlers[event.kind] as (event: GatewayEvent) => void;
    handler(event);
    // The event goes before due timers: after a suspension of the process both are pending, and a
    // response that has arrived must not time out.
    this.context.runDueTimers();
    this.armExpiryTimer();
    this.updateReadiness();
    return this.context.takeEffects();
  }

  nextWakeMs(): MonotonicMs | undefined {
    return this.context.nextWakeMs();
  }

  /** What metrics show of the limits that endpoints have named. */
  get limitUsage(): LimitUsage {
    return this.limits.usage;
  }

  /** What metrics show of cold endpoints. */
  get coldUsage(): ColdUsage {
    return this.cold.usage;
  }

  /** What metrics show of the endpoints that may not be sent anything. */
  get availabilityUsage(): AvailabilityUsage {
    return this.availability.usage;
  }

  /** What metrics show of failure domains that are evacuated. */
  get evacuationUsage(): EvacuationUsage {
    const domains = this.availability.evacuated.usage;
    return { domains, attempts: this.requests.attemptsInEvacuation };
  }

  /** What metrics show of requests that crash engines. */
  get harmUsage(): HarmUsage {
    return this.harmful.usage;
  }

  /** What metrics show of the paths to the endpoints of each service. */
  get pathUsage(): PathUsage[] {
    return this.paths.usage;
  }

  /** What metrics show of requests that are forwarded between entry VMs. */
  get forwardingUsage(): ForwardingUsage {
    return { forwarded: this.forwarder.forwarded, received: this.receivedForwards };
  }

  private createCoordinator(self: GatewayPeer): PermitCoordinator {
    const { context, table, limits, fleetLoad } = this;
    return new PermitCoordinator({ context, self, peers: fleetLoad.peers, table, limits });
  }

  private createColdShares(self: GatewayPeer, { coldBound: bound }: GatewayContract): ColdShares {
    const { context, table, cold, fleetLoad } = this;
    const { peers } = fleetLoad;
    const findTraits = (service: ServiceId): ColdTraits | undefined =>
      this.routeIndex?.findService(service)?.cold;
    return new ColdShares({ context, self, peers, table, cold, findTraits, bound });
  }

  private createPermits(self: GatewayPeer): PermitHolder {
    const { context, limits, coordinator, coldShares } = this;
    const onGranted = (): void => this.requests.handlePermit();
    return new PermitHolder({ context, self, limits, coordinator, coldShares, onGranted });
  }

  private createRequests(self: GatewayPeer, callerWait: CallerWaitLimits): GatewayRequests {
    const { context, availability, health, limits, permits, fleetLoad, budget, reservations } =
      this;
    const { harmful, paths, probes, forwarder, coldShares } = this;
    const { failureDomain } = self;
    const reachability = new DomainReachability(fleetLoad.peers);
    const placementPolicy = new PlacementPolicy({
      context,
      availability,
      health,
      fleetLoad,
      reachability,
      limits,
      permits,
      coldShares,
      failureDomain,
    });
    return new GatewayRequests({
      context,
      availability,
      health,
      harmful,
      limits,
      coldShares,
      reachability,
      paths,
      probes,
      forwarder,
      self: self.id,
      readVersion: () => this.routeIndex?.version ?? 0,
      fleetLoad,
      budget,
      placement: new PermittedPlacement({ context, placementPolicy, permits }),
      reservations,
      callerWait,
      onWorkChanged: (longWorkAt) => this.snapshots.handleWorkChanged(longWorkAt),
      onIdle: () => this.finishDrainIfIdle(),
    });
  }

  private createHandlers(): EventHandlers {
    const { requests } = this;
    return {
      woken: () => {},
      'process.started': () => this.proof.start(this.context.nowMs, this.reregistrationMs),
      drainRequested: ({ timeLeftMs }) => this.startDrain(timeLeftMs),
      'time.lost': ({ lostMs }) => {
        this.lease.addLostTime(lostMs);
        this.proof.addLostTime(lostMs);
        this.contact.addLostTime(lostMs);
        this.limits.addLostTime(lostMs);
        this.availability.addLostTime(lostMs);
        this.permits.clear();
      },
      'contract.changed': ({ contract }) => {
        this.lease.changeDuration(estimateLeaseMs(contract));
        this.budget.changeOptions(createBudgetOptions(contract));
        this.snapshots.changeLink(contract.linkBytesPerMs);
        this.table.changeReregistration(computeRetentionMs(contract));
        this.availability.evacuated.changeRewriteTime(contract.reregistrationMs);
        this.coldShares.changeBound(contract.coldBound);
        this.context.log(logEvents.contractChanged);
      },
      'configuration.confirmed': (event) => {
        this.handleConfirmation(event);
        this.handleStoreResponse(event);
      },
      'evacuations.read': (event) => {
        this.handleStoreResponse(event);
        this.availability.evacuated.handleRead(event);
      },
      'endpoints.read': (event) => {
        this.handleStoreResponse(event);
        this.table.setAll(event.endpoints, this.context.nowMs);
        this.cold.applyRegistrations(event.endpoints);
      },
      'endpoints.changed': (event) => {
        this.handleStoreResponse(event);
        this.table.apply(event.changes, this.context.nowMs);
        this.cold.applyRegistrations(event.changes.flatMap(({ endpoint }) => endpoint ?? []));
      },
      'store.eraRaised': (event) => this.handleEraRaised(event),
      'store.failed': (event) => this.handleStoreFailure(event),
      'peers.read': ({ peers, storeEra, provenEra }) => {
        this.handleErasRead(storeEra, provenEra);
        peers.forEach((peer) => {
          this.fleetLoad.peers.add(peer, this.context.nowMs);
          this.fleetLoad.peers.recordRegistered(peer);
        });
        this.budget.setEntryVmCount(this.fleetLoad.entryVmCount);
        this.coldShares.handlePeersRead();
        this.snapshots.handlePeersAdded();
        this.tableSources.start();
      },
      'tables.sourceFailed': ({ peer, detail }) => {
        this.context.log(logEvents.tableSourceFailed, { peer, detail });
        this.tableSources.handleFailure(peer);
      },
      'tables.asked': () => this.tableSources.handleAsked(),
      'peer.received': ({ snapshot }) => {
        const hasStarted = !this.fleetLoad.peers.hasHeard(snapshot);
        if (!this.fleetLoad.applySnapshot(snapshot, this.context.nowMs)) return;
        this.applySnapshotFields(snapshot);
        if (!hasStarted) return;
        this.harmful.handlePeerStarted();
        this.tableSources.start();
      },
      'permit.requested': ({ request }) => this.coordinator.handleRequest(request),
      'permit.answered': ({ answer }) => this.permits.handleAnswer(answer),
      'request.arrived': ({ request }) => this.handleRequest(request),
      'request.abandoned': ({ requestId, closedFor }) => requests.abandon(requestId, closedFor),
      'attempt.limitReported': ({ attemptId, limit, endpoint }) =>
        requests.handleLimit(attemptId, limit, endpoint),
      'endpoint.noticeReported': ({ endpoint, notice }) =>
        this.availability.report(endpoint, notice),
      'attempt.headReceived': ({ attemptId, head }) => requests.handleHead(attemptId, head),
      'attempt.eventPassed': ({ attemptId, eventId }) => requests.handleEvent(attemptId, eventId),
      'attempt.flowChanged': ({ attemptId, flow }) => requests.handleFlow(attemptId, flow),
      'attempt.ended': ({ attemptId }) => requests.handleEnd(attemptId),
      'attempt.failed': (event) => requests.handleFailure(event),
      'path.probed': ({ endpoint, outcome }) => {
        this.paths.handleProbed(endpoint, outcome);
        requests.handleProbed(endpoint, outcome);
      },
      'reservation.answered': ({ reservationId, outcome }) =>
        this.reservations.handleOutcome(reservationId, outcome),
    };
  }

  private applySnapshotFields(snapshot: WorkSnapshot): void {
    const {
      from,
      limits = [],
      leaving = [],
      harm = [],
      configuration,
      storeAvailableMs,
    } = snapshot;
    if (storeAvailableMs !== undefined) this.handlePeerContact(storeAvailableMs);
    if (configuration !== undefined) {
      const knownSinceMs = this.context.nowMs - configuration.ageMs;
      const isDisproved = this.proof.recordCommitted(configuration.version, knownSinceMs);
      if (isDisproved) this.lease.clear();
    }
    limits.forEach((observation) => this.limits.applyObservation(observation));
    this.availability.applyObservations(from.id, leaving);
    this.harmful.applyObservations(harm);
  }

  private handleConfirmation(event: EventOf<'configuration.confirmed'>): void {
    const { configuration, source, requestedAtMs } = event;
    const { nowMs } = this.context;
    this.proof.handleShown({ version: configuration?.version, source });
    if (configuration !== undefined) this.applyConfiguration(configuration);
    if (this.routeIndex !== undefined && this.proof.takeProof(requestedAtMs, nowMs))
      this.handleProof(requestedAtMs);
  }

  private handleProof(requestedAtMs: MonotonicMs): void {
    this.lease.renew(requestedAtMs);
    if (this.storeEra === undefined || this.storeEra === this.provenEra) return;
    this.provenEra = this.storeEra;
    this.context.emit({ kind: 'registration.prove', era: this.storeEra });
  }

  private handleErasRead(storeEra: number | undefined, provenEra: number | undefined): void {
    const { nowMs } = this.context;
    if (storeEra !== undefined) this.storeEra = Math.max(storeEra, this.storeEra ?? storeEra);
    if (!this.proof.isAwaitingEras) return;
    // If nobody ever had proof, no credential was served that may have been revoked since.
    if (provenEra !== undefined && storeEra !== undefined && provenEra < storeEra) {
      this.proof.keepHold();
      this.context.log(logEvents.eraUnproven, { provenEra, storeEra });
      return;
    }
    const requestedAtMs = this.proof.endHold(nowMs);
    if (requestedAtMs !== undefined) this.handleProof(requestedAtMs);
  }

  private applyConfiguration(configuration: GatewayConfiguration): void {
    const inForce = this.routeIndex?.version;
    const { version } = configuration;
    if (inForce !== undefined && version < inForce)
      this.context.log(logEvents.configurationBehind, { version, inForce });
    if (inForce !== undefined && version <= inForce) return;
    this.routeIndex = new RouteIndex(configuration);
    this.proof.recordCommitted(version, this.context.nowMs);
    this.context.emit({ kind: 'callerLimits.changed', limits: configuration.callerLimits });
    this.context.log(logEvents.routesAdopted, {
      version,
      routes: configuration.routes.length,
    });
  }

  private handleEraRaised({ previousEra, era }: EventOf<'store.eraRaised'>): void {
    const { nowMs } = this.context;
    const version = this.routeIndex?.version;
    this.context.log(logEvents.storeEraRaised, { previousEra, era, version });
    this.storeEra = era;
    this.proof.handleEraRaised(nowMs, this.reregistrationMs);
    this.table.handleEraRaised(nowMs);
    this.availability.evacuated.handleEraRaised();
    this.renewalTimer?.cancel();
    const delayMs = this.context.drawRandom() * RENEWAL_SPREAD_MS;
    this.renewalTimer = this.context.schedule(delayMs, () =>
      this.context.emit({ kind: 'registration.renew' }),
    );
  }

  private handleStoreResponse({ requestedAtMs }: StoreReadTime): void {
    const { context, contact } = this;
    const isRegained = contact.recordAnswer(requestedAtMs ?? context.nowMs);
    if (!isRegained) return;
    const mayHaveExpired = contact.mayHaveBeenAway(context.nowMs);
    this.table.reportStoreAvailable(context.nowMs, mayHaveExpired);
    this.availability.evacuated.handleStoreRegained();
    context.log(logEvents.storeRegained, { mayHaveExpired });
    // Other reads may still wait for the answer to a question that was lost.
    context.emit({ kind: 'tables.readNow' });
  }

  private handleStoreFailure({ detail, requestedAtMs }: EventOf<'store.failed'>): void {
    if (!this.contact.recordFailure(requestedAtMs ?? this.context.nowMs)) return;
    this.table.reportStoreUnavailable();
    this.context.log(logEvents.storeLost, { detail });
  }

  /** A peer says for how long the store has answered it: missing registrations may not have expired. */
  private handlePeerContact(storeAvailableMs: number): void {
    const { context, contact } = this;
    if (!contact.recordPeer(storeAvailableMs, context.nowMs)) return;
    contact.closeOutage();
    this.table.endOutageGrace(context.nowMs);
  }

  private handleRequest(request: GatewayRequest): void {
    const resolved = this.resolve(request);
    const { forwardedFrom } = request;
    const refusal = forwardedFrom === undefined ? undefined : this.checkForwarded(forwardedFrom);
    if (refusal !== undefined) this.refuse(request, refusal);
    else if (this.isClosed()) this.refuse(request, 'notReady');
    else if (typeof resolved === 'string') this.refuse(request, resolved);
    else this.requests.admit(request, resolved);
  }

  /** Checks whether a request of a peer may be served here; the peer then looks for another one. */
  private checkForwarded({ version }: ForwardedFrom): GatewayRefusalReason | undefined {
    this.receivedForwards += 1;
    if ((this.routeIndex?.version ?? 0) < version) return 'notReady';
    return this.requests.inFlightOfPeers >= MAX_RECEIVED_REQUESTS ? 'noRoom' : undefined;
  }

  private handlePathLost(service: ServiceId): void {
    // Peers that have registered since the last reading can be forwarded to as well. The paths to several
    // services are mostly lost together.
    if (this.context.nowMs - this.peersReadAtMs >= PEERS_READ_INTERVAL_MS) {
      this.peersReadAtMs = this.context.nowMs;
      this.context.emit({ kind: 'registration.renew' });
    }
    this.snapshots.handleWorkChanged();
    this.requests.handlePathLost(service);
  }

  /** The endpoints were sound all the while. */
  private handlePathRegained(service: ServiceId): void {
    this.table.listKnown(service).forEach(({ id }) => this.health.remove(id));
    this.snapshots.handleWorkChanged();
  }

  private resolve(request: GatewayRequest): ResolvedRoute | GatewayRefusalReason {
    const { routeIndex } = this;
    if (routeIndex === undefined || !this.table.isLoaded) return 'notReady';
    const route = routeIndex.findRoute(request.host, request.path);
    if (route === undefined) return 'noRoute';
    const isCredentialRequired = routeIndex.hasCredentials && !route.anonymous;
    if (isCredentialRequired && !this.lease.isValid(this.context.nowMs)) return 'credentialsStale';
    const team = routeIndex.findTeam(request.credential);
    if (isCredentialRequired && team === undefined) return 'wrongCredential';
    const isTeamFaulty = isCredentialRequired && team?.fault !== undefined;
    if (route.fault !== undefined || isTeamFaulty) return 'misconfigured';
    // Of a forwarded request, the entry VM that forwards it decides; an earlier build does not know the reason.
    if (request.forwardedFrom === undefined && request.sharedParts.length > MAX_SHARED_PARTS)
      return 'tooManyParts';
    const service = routeIndex.findService(this.pickService(route));
    if (service === undefined) return 'noEndpoint';
    const tightestGapMs = routeIndex.findTightestGapMs(service.name);
    return { route, service, team: isCredentialRequired ? team : undefined, tightestGapMs };
  }

  private pickService(route: Route): string {
    const total = route.shares.reduce((sum, { weight }) => sum + weight, 0);
    let remaining = this.context.drawRandom() * total;
    const share = route.shares.find(({ weight }) => {
      remaining -= weight;
      return remaining < 0;
    });
    return (share ?? route.shares[0])?.service ?? '';
  }

  private refuse(request: GatewayRequest, reason: GatewayRefusalReason): void {
    const retryAfterMs = FINAL_REFUSALS.has(reason) ? undefined : NOT_READY_RETRY_AFTER_MS;
    const refusal = { reason, retryAfterMs };
    this.context.log(logEvents.requestTurnedAway, { request: request.callerAttempt, reason });
    this.context.emit({ kind: 'request.measured', measured: measureRefused(request, reason) });
    this.context.emit({
      kind: 'caller.refuse',
      requestId: request.requestId,
      refusal: request.forwardedFrom === undefined ? refusal : { ...refusal, forwarding: NOT_SENT },
    });
  }

  private handleUnregistered(endpoint: EndpointId): void {
    this.context.log(logEvents.endpointForgotten, { endpoint });
    this.context.emit({ kind: 'endpoint.forgotten', endpoint });
  }

  /** Forgets what is bound to a process of an endpoint. */
  private removeEndpoint(endpoint: EndpointId): void {
    this.health.remove(endpoint);
    this.probes.remove(endpoint);
    this.availability.remove(endpoint);
    this.limits.remove(endpoint);
    this.cold.remove(endpoint);
    this.coldShares.remove(endpoint);
    this.permits.remove(endpoint);
    this.coordinator.remove(endpoint);
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
    const isConfigured =
      this.routeIndex !== undefined && this.table.isLoaded && this.lease.isValid(nowMs);
    const ready = isConfigured && this.closesAtMs === undefined;
    if (ready === this.isReady) return;
    this.isReady = ready;
    this.context.emit({ kind: 'readiness', ready });
    this.context.log(ready ? logEvents.gatewayReady : logEvents.gatewayNotReady);
  }

  private startDrain(timeLeftMs: number): void {
    if (this.closesAtMs !== undefined) return;
    const { context } = this;
    this.tableSources.stop();
    const noticeMs = Math.min(DRAIN_NOTICE_MS, timeLeftMs);
    this.closesAtMs = context.nowMs + noticeMs;
    this.snapshots.handleWorkChanged();
    context.schedule(noticeMs, () => {
      context.emit({ kind: 'callers.close' });
      this.finishDrainIfIdle();
    });
    context.schedule(timeLeftMs, () => this.requests.endAll());
    this.requests.startStop(context.nowMs + timeLeftMs);
  }

  private isClosed(): boolean {
    return this.closesAtMs !== undefined && this.context.nowMs >= this.closesAtMs;
  }

  private finishDrainIfIdle(): void {
    if (this.isDrained || !this.isClosed() || this.requests.inFlight > 0) return;
    this.isDrained = true;
    this.context.emit({ kind: 'drained' });
  }
}
