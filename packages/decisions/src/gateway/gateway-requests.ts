import type {
  CallerWaitLimits,
  EndpointId,
  EntryVmId,
  GatewayEndpoint,
  MonotonicMs,
  ServiceId,
} from '@savorywind/model';
import type { Timer } from '../timers/timer-queue.js';
import {
  BLAMELESS_FAILURES,
  CONNECTION_FAILURES,
  estimateLeastWaitMs,
  findFailedEndpoint,
  FIRST_SERVER_ERROR,
  isForwardable,
  isSuccess,
  MAX_EXTRA_ATTEMPTS,
  MAX_UNSENDABLE_RETRIES,
  UNSENT_FAILURES,
  mayRetry,
  mayWaitForOpening,
  NOT_EXECUTED_STATUSES,
  releaseReservations,
} from './attempt-rules.js';
import type { EndpointAvailability } from './availability/endpoint-availability.js';
import { PLACEMENT_RETRY_MS } from './consts.js';
import { createGatewayRecord, type ResolvedRoute } from './create-gateway-record.js';
import { createRefusal } from './create-refusal.js';
import type { DomainReachability } from './domain-reachability.js';
import { WITHDRAWAL_MS } from './forwarding/consts.js';
import { logForwardedReceived } from './forwarding/forwarding-log.js';
import { PeerAttempts } from './forwarding/peer-attempts.js';
import type { RequestForwarder } from './forwarding/request-forwarder.js';
import type { HarmfulRequests } from './harm/harmful-requests.js';
import type { ColdShares } from './permits/cold-shares.js';
import type { EndpointLimits } from './permits/endpoint-limits.js';
import type { EndpointHealth } from './endpoint-health.js';
import { logIfLate, recordEvent } from './event-times.js';
import type { FleetLoadTracker } from './fleet-load-tracker.js';
import type { FleetRetryBudget } from './fleet-retry-budget.js';
import { GatewayAttempts, type AttemptPlan } from './gateway-attempts.js';
import type { GatewayContext } from './gateway-context.js';
import { measureRequest } from './measure-request.js';
import type { MemoryReservations } from './memory-reservations.js';
import type { EndpointPaths } from './path/endpoint-paths.js';
import type { EndpointProbes } from './path/endpoint-probes.js';
import type { ProbeOutcome } from './path/probe-round.js';
import type { PermittedPlacement } from './permits/permitted-placement.js';
import type { WaitDecision } from './placement/placement-policy.js';
import {
  mayRerun,
  type EndpointAttempt,
  type GatewayAttempt,
  type GatewayRecord,
} from './request-record.js';
import type {
  CloseReason,
  EndpointProcess,
  GatewayResponseHead,
  GatewayAttemptFailure,
  GatewayEvent,
  GatewayRefusalReason,
  GatewayRequest,
  RequestLimitReport,
  RequestOutcome,
} from './types.js';
import {
  logAbandoned,
  logBrokenOff,
  logConnectionEnd,
  logContinued,
  logFailure,
  logOpenAtStop,
  logRefusal,
  logRetry,
  logServerError,
  logUnforwardable,
} from './request-log.js';
import { RequestQueue } from './waiting/request-queue.js';
import type { WorkChanged } from './snapshot-sender.js';
import { StopDeadline } from './stop-deadline.js';

export interface GatewayRequestsOptions {
  readonly context: GatewayContext;
  readonly availability: EndpointAvailability;
  readonly health: EndpointHealth;
  readonly harmful: HarmfulRequests;
  readonly limits: EndpointLimits;
  readonly coldShares: ColdShares;
  readonly reachability: DomainReachability;
  readonly paths: EndpointPaths;
  readonly probes: EndpointProbes;
  readonly forwarder: RequestForwarder;
  /** Id of this entry VM. */
  readonly self: EntryVmId;
  /** Returns the version of the configuration in force. */
  readonly readVersion: () => number;
  readonly fleetLoad: FleetLoadTracker;
  readonly placement: PermittedPlacement;
  readonly budget: FleetRetryBudget;
  readonly reservations: MemoryReservations;
  readonly callerWait: CallerWaitLimits;
  /** Called when an attempt starts, gets its first event or ends. */
  readonly onWorkChanged: WorkChanged;
  /** Called when a request has ended and no other is in flight. */
  readonly onIdle: () => void;
}

type AttemptFailed = Extract<GatewayEvent, { readonly kind: 'attempt.failed' }>;

/**
 * Runs requests from their arrival to their final response: placement, attempts, retries,
 * deadlines.
 */
export class GatewayRequests {
  private readonly records = new Map<string, GatewayRecord>();

  private readonly queue = new RequestQueue();

  private placementTimer: Timer | undefined;

  private readonly attempts: GatewayAttempts;

  private readonly peerAttempts: PeerAttempts;

  private readonly stopDeadline = new StopDeadline();

  private peerRequests = 0;

  private readonly isEvacuated = (endpoint: GatewayEndpoint): boolean =>
    this.options.availability.isEvacuated(endpoint);

  constructor(private readonly options: GatewayRequestsOptions) {
    const { context, self, availability, fleetLoad, limits, paths, forwarder } = options;
    const { coldShares, onWorkChanged } = options;
    this.attempts = new GatewayAttempts({
      context,
      self,
      availability,
      fleetLoad,
      limits,
      coldShares,
      paths,
      forwarder,
      onWorkChanged,
      onStalled: (record, attempt) => this.handleStall(record, attempt),
    });
    this.peerAttempts = new PeerAttempts({
      ...options,
      attempts: this.attempts,
      onRetry: (record) => this.place(record),
      onFailed: (record, failure) => this.retryOrFail(record, failure),
      onRefused: (record, reason) => this.fail(record, reason),
    });
  }

  get inFlight(): number {
    return this.records.size;
  }

  /** Requests of peers without a final response. */
  get inFlightOfPeers(): number {
    return this.peerRequests;
  }

  admit(request: GatewayRequest, resolved: ResolvedRoute): void {
    const { context, callerWait } = this.options;
    const record = createGatewayRecord(request, resolved, context.nowMs, callerWait);
    const waitMs = record.deadlineMs - context.nowMs;
    record.deadlineTimer = context.schedule(waitMs, () => this.expire(request.requestId));
    this.records.set(request.requestId, record);
    if (record.forwardedFrom === undefined) {
      this.options.budget.recordRequest(record.service.name, context.nowMs);
    } else {
      // The entry VM that forwards a request has counted it for the budget.
      this.peerRequests += 1;
      logForwardedReceived(context, record);
    }
    this.place(record);
  }

  /** @param closedFor why this process has closed the connection; undefined if the caller has left */
  abandon(requestId: string, closedFor?: CloseReason): void {
    const record = this.records.get(requestId);
    if (record === undefined) return;
    logAbandoned(this.options.context, record, closedFor);
    if (closedFor === undefined) this.reportAbandonedStall(record);
    this.attempts.cancel(record);
    this.close(record, closedFor === undefined ? 'abandoned' : 'closed');
  }

  /**
   * Has the process stop at a given time. Requests that wait and can't be served by then are refused
   * now, so that their callers have time to go to a peer.
   */
  startStop(endMs: MonotonicMs): void {
    this.stopDeadline.set(endMs);
    this.placeQueued();
  }

  /** Gives each open request its final response, because the time of the process has ended. */
  endAll(): void {
    const open = [...this.records.values()];
    if (open.length > 0) logOpenAtStop(this.options.context, open);
    open.forEach((record) => this.end(record, 'stopping'));
  }

  handleLimit(attemptId: string, limit: RequestLimitReport, servedBy?: EndpointProcess): void {
    const attempt = this.attempts.find(attemptId)?.attempt;
    if (attempt === undefined) return;
    const endpoint = attempt.target === 'peer' ? servedBy : attempt.endpoint;
    if (endpoint !== undefined) this.options.limits.report(endpoint, limit, attempt.startedAtMs);
  }

  /**
   * Has requests that are on the way to endpoints of a service go to peers instead, as no endpoint can be
   * connected to: those that are not sent yet, and those that wait for endpoints that are silent.
   */
  handlePathLost(service: ServiceId): void {
    const { context, harmful, paths } = this.options;
    if (paths.isCutOff) harmful.discardLosses();
    this.attempts.withdrawAll(service);
    context.schedule(WITHDRAWAL_MS, () => {
      if (!paths.find(service).isSilent) return;
      this.attempts.listAt(service).forEach((record) => {
        if (mayRerun(record) && record.attempt !== undefined)
          this.handleStall(record, record.attempt);
      });
    });
    this.placeQueued();
  }

  /** Takes back the requests that are on the way to an endpoint that takes no more, where possible. */
  handleClosed(endpoint: EndpointId): void {
    this.attempts.withdraw(({ id }) => id === endpoint);
  }

  /**
   * Takes back what is not sent yet to evacuated failure domains, with the memory reserved there for it, and
   * places what waits anew, by what may be used now.
   */
  handleEvacuationChanged(): void {
    this.attempts.withdraw(this.isEvacuated);
    [...this.records.values()]
      .filter(({ attempt, reservations }) => attempt === undefined && reservations !== undefined)
      .filter(({ reservations }) =>
        reservations!.held.some(({ endpoint }) => this.isEvacuated(endpoint)),
      )
      .forEach((record) => this.place(record));
    this.placeQueued();
  }

  /** Attempts that go on at endpoints of evacuated failure domains. */
  get attemptsInEvacuation(): number {
    return this.attempts.listInvolving(this.isEvacuated).length;
  }

  handleHead(attemptId: string, head: GatewayResponseHead): void {
    const record = this.attempts.find(attemptId);
    const attempt = record?.attempt;
    if (record === undefined || attempt === undefined) return;
    attempt.head = head;
    this.blameUnsendable(record);
    this.reportHead(attempt);
    if (!isForwardable(record, head)) {
      this.rejectResponse(record, attempt, head);
      return;
    }
    if (head.status >= FIRST_SERVER_ERROR)
      logServerError(this.options.context, record, head.status);
    if (this.takeServerErrorRetry(record, head)) {
      logRetry(this.options.context, record, 'serverError');
      this.attempts.cancel(record);
      this.place(record);
    } else if (!mayRerun(record) && NOT_EXECUTED_STATUSES.has(head.status)) {
      // The endpoint may have run it: the response does not say that it was not executed.
      record.runs = Math.max(1, record.runs);
      this.attempts.cancel(record);
      this.fail(record, 'broken');
    } else {
      this.relay(record, attempt);
    }
  }

  handleEvent(attemptId: string, eventId: string | undefined): void {
    const record = this.attempts.find(attemptId);
    if (record?.attempt === undefined) return;
    record.isStalled = false;
    record.lastEventId = eventId ?? record.lastEventId;
    record.isContinuable = eventId !== undefined;
    recordEvent(record.times, this.options.context.nowMs);
    this.reportResponse(record.attempt);
    this.options.harmful.recordEvent(record, record.attempt);
    this.attempts.handleEvent(record, record.attempt);
  }

  handleFlow(attemptId: string, flow: 'held' | 'flowing'): void {
    const record = this.attempts.find(attemptId);
    if (record?.attempt === undefined) return;
    this.attempts.handleFlow(record, record.attempt, flow);
  }

  handleEnd(attemptId: string): void {
    const record = this.attempts.find(attemptId);
    if (record === undefined) return;
    logConnectionEnd(this.options.context, record);
    const { head } = record.attempt ?? {};
    if (head?.content === 'events' && isSuccess(head.status))
      this.options.harmful.recordSound(record);
    const isLate = logIfLate(this.options.context, record);
    this.attempts.detach(record);
    this.options.context.emit({ kind: 'caller.finish', requestId: record.request.requestId });
    this.close(record, isLate ? 'late' : 'served');
  }

  handleFailure(event: AttemptFailed): void {
    const record = this.attempts.find(event.attemptId);
    const attempt = record?.attempt;
    if (record === undefined || attempt === undefined) return;
    if (attempt.target === 'peer') this.peerAttempts.handleFailure(record, attempt, event);
    else this.handleEndpointFailure(record, attempt, event);
  }

  private handleEndpointFailure(
    record: GatewayRecord,
    attempt: EndpointAttempt,
    { failure, detail, atFault }: AttemptFailed,
  ): void {
    const { context, health, paths } = this.options;
    const failed = findFailedEndpoint(attempt, atFault);
    logFailure(context, record, { failed: failed.id, failure, detail });
    if (CONNECTION_FAILURES.has(failure)) this.reportLoss(record, attempt);
    if (failure === 'rejected') this.options.paths.find(record.service.name).recordResponse();
    if (failure === 'broken' && !paths.isCutOff) this.options.harmful.recordLoss(record, attempt);
    this.attempts.detach(record);
    releaseReservations(record);
    if (failure === 'unsendable') record.unsendableAt ??= failed;
    else this.blameUnsendable(record);
    if (!BLAMELESS_FAILURES.has(failure)) health.reportFailure(failed, context.nowMs);
    if (failure !== 'withdrawn') record.failedEndpoints.add(failed.id);
    this.retryOrFail(record, failure);
  }

  /** Ejects an endpoint that could not get a request which could be sent to another one. */
  private blameUnsendable(record: GatewayRecord): void {
    if (record.unsendableAt === undefined) return;
    this.options.health.reportFailure(record.unsendableAt, this.options.context.nowMs);
    record.unsendableAt = undefined;
  }

  private reportHead(attempt: GatewayAttempt): void {
    if (attempt.target === 'peer') return;
    this.options.availability.recordResponse(attempt.attemptId);
    this.options.health.reportResponse(attempt.endpoint);
    this.reportResponse(attempt);
  }

  /** Records that the endpoint's failure domain is reachable, because the endpoint sent data. */
  private reportResponse(attempt: GatewayAttempt): void {
    if (attempt.target === 'peer') return;
    const { endpoint } = attempt;
    const { reachability, harmful, paths, context } = this.options;
    paths.find(endpoint.service).recordResponse();
    reachability.reportResponse(endpoint.failureDomain, context.nowMs);
    harmful.recordResponse(endpoint);
  }

  private reportLoss(record: GatewayRecord, { endpoint }: EndpointAttempt): void {
    const { reachability, paths, context } = this.options;
    paths.find(endpoint.service).recordLoss();
    record.hasLostEndpoint = true;
    reachability.reportLoss(endpoint.failureDomain, endpoint.id, context.nowMs);
  }

  private handleStall(record: GatewayRecord, attempt: GatewayAttempt): void {
    if (record.attempt !== attempt) return;
    const { context, health, budget, availability } = this.options;
    record.isStalled = true;
    // What runs in an evacuated failure domain is left there if nothing else may get it.
    if (availability.isServiceEvacuated(record.service.name)) return;
    // The stalled endpoint may have executed the request.
    if (!mayRetry({ ...record, runs: record.runs + 1 })) return;
    // A stopping process leaves the silent endpoint the rest of the time if no other could answer in it.
    if (!this.mayStartBeforeStop(record)) return;
    if (!budget.takeRetry(record.service.name, context.nowMs)) return;
    if (attempt.target === 'endpoint') {
      health.reportFailure(attempt.endpoint, context.nowMs);
      this.reportLoss(record, attempt);
      // Keep-alive connections to the endpoint may be dead.
      context.emit({ kind: 'endpoint.forgotten', endpoint: attempt.endpoint.id });
    }
    this.attempts.cancel(record);
    releaseReservations(record);
    this.excludeTarget(record, attempt);
    record.isStalled = false;
    record.runs += 1;
    logRetry(this.options.context, record, 'silent');
    this.place(record);
  }

  /** Has the request go to another endpoint, if there is one. */
  // eslint-disable-next-line class-methods-use-this
  private excludeTarget(record: GatewayRecord, attempt: GatewayAttempt): void {
    const failed = attempt.target === 'peer' ? attempt.head?.servedBy : attempt.endpoint.id;
    if (failed !== undefined) record.failedEndpoints.add(failed);
  }

  /** Records a silent endpoint whose request the peer that forwarded it has taken back. */
  private reportAbandonedStall({ isStalled, attempt, forwardedFrom }: GatewayRecord): void {
    if (!isStalled || forwardedFrom === undefined || attempt?.target !== 'endpoint') return;
    const { context, health } = this.options;
    health.reportFailure(attempt.endpoint, context.nowMs);
    context.emit({ kind: 'endpoint.forgotten', endpoint: attempt.endpoint.id });
  }

  private place(record: GatewayRecord): void {
    const { context, placement } = this.options;
    this.removeFromQueue(record);
    releaseReservations(record);
    const mayRun = this.options.harmful.decideRun(record);
    if (mayRun === 'refuse') {
      this.fail(record, 'harmful');
      return;
    }
    const minFirstEventMs = estimateLeastWaitMs(record);
    const endMs = record.hasForwardedHead ? record.deadlineMs : record.firstEventDeadlineMs;
    if (context.nowMs + minFirstEventMs >= endMs) {
      this.fail(record, 'noRoom');
      return;
    }
    if (!this.mayStartBeforeStop(record)) {
      this.fail(record, 'stopping');
      return;
    }
    if (mayRun === 'wait') {
      this.queueRequest(record);
      return;
    }
    const forwarding = this.peerAttempts.forward(record);
    if (forwarding === 'forwarded') return;
    if (forwarding === 'hopeless') {
      this.fail(record, 'noEndpoint');
      return;
    }
    const latestMs = endMs - minFirstEventMs;
    const queued = this.queue.count(record.service.name);
    const decision = placement.decide(record, latestMs, queued);
    if (decision.kind === 'noEndpoint') {
      this.fail(record, 'noEndpoint');
    } else if (decision.kind === 'closed') {
      if (mayWaitForOpening(record, decision.untilMs, latestMs)) this.queueRequest(record);
      else this.fail(record, 'endpointsClosed');
    } else if (decision.kind === 'place') {
      record.placementFields = decision.placementFields;
      placement.usePermit(decision);
      this.reserveAndStart(record, decision);
    } else if (decision.permitMs !== undefined && decision.permitMs >= latestMs) {
      this.fail(record, 'noRoom');
    } else if (!this.mayWait(record, decision)) {
      this.fail(record, 'stopping');
    } else {
      this.queueRequest(record);
    }
  }

  /** Whether a stopping process may still let a request wait. */
  private mayWait(record: GatewayRecord, { permitMs, lateStartMs }: WaitDecision): boolean {
    const startMs = Math.max(this.options.context.nowMs, permitMs ?? 0, lateStartMs ?? 0);
    return this.stopDeadline.mayWait(record, startMs);
  }

  /** Whether an attempt would get its first event before a stopping process ends. */
  private mayStartBeforeStop(record: GatewayRecord): boolean {
    return this.stopDeadline.mayStart(estimateLeastWaitMs(record), this.options.context.nowMs);
  }

  /**
   * Reserves memory on helpers before the attempt starts. If a reservation fails, the request is
   * queued.
   */
  private reserveAndStart(record: GatewayRecord, plan: AttemptPlan): void {
    if (plan.helpers.every(({ reservedTokens }) => reservedTokens === 0)) {
      this.attempts.start(record, plan);
      return;
    }
    const mayRenew = (): boolean => this.probePrimary(record);
    record.reservations = this.options.reservations.reserve(plan.helpers, mayRenew, (reserved) => {
      if (reserved === undefined) {
        record.reservations = undefined;
        this.queueRequest(record);
      } else if (!this.mayStartBeforeStop(record)) {
        this.place(record);
      } else if (this.isPlanOpen(plan)) {
        this.attempts.start(record, plan);
      } else {
        releaseReservations(record);
        this.queueRequest(record);
      }
    });
  }

  /**
   * Probes the engine of an attempt whose helpers hold memory. While it can't be connected to, that memory
   * is of no use: the engines end the work that depends on it.
   *
   * @returns whether it could be connected to lately
   */
  private probePrimary({ attempt }: GatewayRecord): boolean {
    if (attempt?.target !== 'endpoint') return true;
    const { probes } = this.options;
    if (!this.isEvacuated(attempt.endpoint)) probes.probe(attempt.endpoint);
    return !probes.isUnreachable(attempt.endpoint.id);
  }

  /** Retries the requests that wait for an engine which can't be connected to and hold memory of others. */
  handleProbed(endpoint: EndpointId, outcome: ProbeOutcome): void {
    const { probes } = this.options;
    probes.recordOutcome(endpoint, outcome);
    if (outcome !== 'failed' || !probes.isUnreachable(endpoint)) return;
    this.attempts.listOf(endpoint).forEach((record) => {
      if (record.reservations !== undefined && mayRerun(record))
        this.handleStall(record, record.attempt!);
    });
  }

  /** Whether all engines of a plan take their parts: some may have left while memory was reserved. */
  private isPlanOpen(plan: AttemptPlan): boolean {
    const { availability, coldShares } = this.options;
    const helpers = plan.helpers.map(({ endpoint }) => endpoint);
    const isOpen = [plan.endpoint, ...helpers].every(({ id }) => availability.isOpen(id));
    return isOpen && coldShares.mayStart(plan.endpoint, helpers);
  }

  private queueRequest(record: GatewayRecord): void {
    if (!this.queue.add(record)) {
      this.fail(record, 'noRoom');
      return;
    }
    this.placementTimer ??= this.options.context.schedule(PLACEMENT_RETRY_MS, () => {
      this.placementTimer = undefined;
      this.placeQueued();
    });
  }

  /** Places queued requests that may use a permit that was just granted. */
  handlePermit(): void {
    this.placeQueued();
  }

  /**
   * Tries to place each queued request. Runs on a timer, because a try at each snapshot of a peer
   * would use too much processor time. Work that has ended at a peer is noticed at the next try.
   */
  private placeQueued(): void {
    this.queue.listInOrder(this.options.context.nowMs).forEach((record) => {
      if (this.queue.has(record)) this.place(record);
    });
  }

  private removeFromQueue(record: GatewayRecord): void {
    this.queue.remove(record);
  }

  /** Discards a response that can't be forwarded, and runs the request elsewhere if it may. */
  private rejectResponse(
    record: GatewayRecord,
    attempt: GatewayAttempt,
    head: GatewayResponseHead,
  ): void {
    logUnforwardable(this.options.context, record, head);
    this.excludeTarget(record, attempt);
    this.attempts.cancel(record);
    this.retryOrFail(record, 'invalid');
  }

  private relay(record: GatewayRecord, attempt: GatewayAttempt): void {
    const { requestId } = record.request;
    if (record.hasForwardedHead) logContinued(this.options.context, record, attempt);
    const { status, content } = attempt.head ?? {};
    // Of any other response than a stream, the whole or a large part is there.
    if (status !== undefined && isSuccess(status) && content === 'whole')
      this.options.harmful.recordSound(record);
    record.hasForwardedHead = true;
    record.isContinuable = content === 'events';
    this.options.context.emit({
      kind: 'caller.relay',
      requestId,
      attemptId: attempt.attemptId,
      endpoint: attempt.target === 'endpoint' ? attempt.endpoint : undefined,
    });
  }

  /**
   * Counts an attempt that ended with a server error, and takes a retry from the budget. Does
   * nothing for other statuses.
   *
   * @returns whether the request is to be retried on another endpoint
   */
  private takeServerErrorRetry(record: GatewayRecord, head: GatewayResponseHead): boolean {
    if (head.status < FIRST_SERVER_ERROR || record.attempt === undefined) return false;
    record.runs += 1;
    if (!mayRerun(record) || !mayRetry(record)) return false;
    const { availability, budget, context } = this.options;
    // The endpoint's own answer is better than a refusal because all endpoints are closed.
    if (availability.findOpeningMs(record.service.name) !== undefined) return false;
    if (availability.isServiceEvacuated(record.service.name)) return false;
    if (!budget.takeRetry(record.service.name, context.nowMs)) return false;
    this.excludeTarget(record, record.attempt);
    return true;
  }

  private retryOrFail(record: GatewayRecord, failure: GatewayAttemptFailure): void {
    if (failure === 'notSent') record.connectFailures += 1;
    if (failure === 'unsendable') record.unsendable += 1;
    if (UNSENT_FAILURES.has(failure)) record.unsent += 1;
    else if (failure === 'broken' || failure === 'invalid') record.runs += 1;
    const hasRun = record.runs > 0;
    if (hasRun && !mayRerun(record)) {
      this.fail(record, 'broken');
    } else if (mayRetry(record) && this.takeRetryBudget(record, failure)) {
      logRetry(this.options.context, record, failure);
      this.place(record);
    } else {
      this.fail(record, hasRun ? 'broken' : 'rejected');
    }
  }

  /**
   * Takes a retry from the budget. A retry after an attempt that was not sent needs none, but the
   * number of such attempts is limited.
   */
  private takeRetryBudget(record: GatewayRecord, failure: GatewayAttemptFailure): boolean {
    const { budget, context } = this.options;
    if (failure === 'unsendable') return record.unsendable <= MAX_UNSENDABLE_RETRIES;
    if (UNSENT_FAILURES.has(failure)) return record.unsent <= MAX_EXTRA_ATTEMPTS;
    return budget.takeRetry(record.service.name, context.nowMs);
  }

  private expire(requestId: string): void {
    const record = this.records.get(requestId);
    if (record !== undefined) this.end(record, 'timeout');
  }

  /** Ends a request whose time is over. Its attempt, if it has one, may have been executed. */
  private end(record: GatewayRecord, reason: GatewayRefusalReason): void {
    if (record.attempt !== undefined) record.runs += 1;
    this.attempts.cancel(record);
    this.fail(record, reason);
  }

  /** Ends a request that can't be served with its final response. */
  private fail(record: GatewayRecord, reason: GatewayRefusalReason): void {
    const { context, availability } = this.options;
    const { requestId } = record.request;
    if (record.hasForwardedHead) {
      logBrokenOff(context, record, reason);
      context.emit({ kind: 'caller.breakOff', requestId });
      this.close(record, 'brokenOff');
      return;
    }
    const openingMs = availability.findOpeningMs(record.service.name) ?? context.nowMs;
    const refusal = createRefusal(record, reason, {
      closedForMs: openingMs - context.nowMs,
      isEvacuated: availability.isServiceEvacuated(record.service.name),
      jitter: context.drawRandom(),
    });
    logRefusal(context, record, reason);
    context.emit({ kind: 'caller.refuse', requestId, refusal });
    this.close(record, refusal.reason);
  }

  private close(record: GatewayRecord, outcome: RequestOutcome): void {
    const { context } = this.options;
    this.removeFromQueue(record);
    record.deadlineTimer?.cancel();
    this.attempts.detach(record);
    releaseReservations(record);
    this.records.delete(record.request.requestId);
    // A forwarded request is measured where its caller is.
    if (record.forwardedFrom !== undefined) {
      this.peerRequests -= 1;
    } else {
      const measured = measureRequest(record, outcome, context.nowMs);
      context.emit({ kind: 'request.measured', measured });
    }
    if (this.records.size === 0) this.options.onIdle();
  }
}
