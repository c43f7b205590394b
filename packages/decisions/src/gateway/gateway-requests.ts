import type { CallerPatience, GatewayEndpoint, NetworkAddress } from '@savorywind/model';
import type { Timer } from '../timers/timer-queue.js';
import { MAX_HELPERS, MIN_ATTEMPT_MS, PLACE_AGAIN_MS } from './consts.js';
import { createGatewayRecord, type ResolvedRoute } from './create-record.js';
import { createRefusal } from './create-refusal.js';
import type { DomainReach } from './domain-reach.js';
import type { EndpointHealth } from './endpoint-health.js';
import type { EndpointTable } from './endpoint-table.js';
import { logIfLate, recordEvent } from './event-times.js';
import type { FleetPicture } from './fleet-picture.js';
import type { FleetRetryBudget } from './fleet-retry-budget.js';
import { GatewayAttempts, type AttemptPlan } from './gateway-attempts.js';
import type { GatewayContext } from './gateway-context.js';
import { measureRequest } from './measure-request.js';
import type { MemoryReservations } from './memory-reservations.js';
import { estimateLeastMs, type PlacementDesk } from './placement-desk.js';
import { mayRunAgain, type GatewayAttempt, type GatewayRecord } from './request-record.js';
import type {
  GatewayAnswerHead,
  GatewayAttemptFailure,
  GatewayEvent,
  GatewayRefusalReason,
  GatewayRequest,
  RequestOutcome,
} from './types.js';
import {
  logAbandoned,
  logBrokenOff,
  logFailure,
  logRefusal,
  logRepeat,
  logServerError,
} from './request-log.js';
import { WaitingLine } from './waiting-line.js';

export interface GatewayRequestsOptions {
  readonly context: GatewayContext;
  readonly table: EndpointTable;
  readonly health: EndpointHealth;
  readonly reach: DomainReach;
  readonly picture: FleetPicture;
  readonly desk: PlacementDesk;
  readonly budget: FleetRetryBudget;
  readonly reservations: MemoryReservations;
  readonly patience: CallerPatience;
  readonly onWorkChanged: () => void;
  readonly onIdle: () => void;
}

type AttemptFailed = Extract<GatewayEvent, { readonly kind: 'attempt.failed' }>;

/** Attempts that endpoints rejected or that never left, beyond those that may have run. */
const MAX_EXTRA_ATTEMPTS = 3;

/** Failures that may be due to the way to the endpoint. */
const CONNECTION_FAILURES: ReadonlySet<GatewayAttemptFailure> = new Set(['notSent', 'broken']);

/** Statuses that promise that the request has not run. */
const PROMISING_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const FIRST_SERVER_ERROR = 500;

const mayRepeat = ({ route, runs, sends, unsent }: GatewayRecord): boolean =>
  runs < route.maxAttempts && sends - unsent < route.maxAttempts + MAX_EXTRA_ATTEMPTS;

const releaseReservations = (record: GatewayRecord): void => {
  record.reservations?.release();
  record.reservations = undefined;
};

/** The endpoint that an attempt failed at: a helper where the answer names it. */
const findFailed = (
  { endpoint, helpers }: GatewayAttempt,
  atFault: NetworkAddress | undefined,
): GatewayEndpoint => {
  const named = helpers.find(
    ({ address }) => address.host === atFault?.host && address.port === atFault.port,
  );
  return named ?? endpoint;
};

const isSuccess = (status: number): boolean => status >= 200 && status < 300;

/** The life of requests from arrival to their final answer. */
export class GatewayRequests {
  private readonly records = new Map<string, GatewayRecord>();

  private readonly waiting = new WaitingLine();

  private waitingTimer: Timer | undefined;

  private readonly attempts: GatewayAttempts;

  constructor(private readonly options: GatewayRequestsOptions) {
    const { context, picture, onWorkChanged } = options;
    this.attempts = new GatewayAttempts(context, picture, onWorkChanged, (record, attempt) =>
      this.acceptSilence(record, attempt),
    );
  }

  get inFlight(): number {
    return this.records.size;
  }

  admit(request: GatewayRequest, resolved: ResolvedRoute): void {
    const { context, patience } = this.options;
    const record = createGatewayRecord(request, resolved, context.nowMs, patience);
    const waitMs = record.deadlineMs - context.nowMs;
    record.deadlineTimer = context.schedule(waitMs, () => this.expire(request.requestId));
    this.records.set(request.requestId, record);
    this.options.budget.recordRequest(record.service.name, context.nowMs);
    this.place(record);
  }

  abandon(requestId: string): void {
    const record = this.records.get(requestId);
    if (record === undefined) return;
    logAbandoned(this.options.context, record);
    this.attempts.cancel(record);
    this.close(record, 'abandoned');
  }

  acceptHead(attemptId: string, head: GatewayAnswerHead): void {
    const record = this.attempts.find(attemptId);
    const attempt = record?.attempt;
    if (record === undefined || attempt === undefined) return;
    attempt.hasHead = true;
    this.options.health.reportAnswer(attempt.endpoint.id);
    this.reportSign(attempt);
    if (head.status >= FIRST_SERVER_ERROR)
      logServerError(this.options.context, record, head.status);
    if (isSuccess(head.status) && !head.hasReceipt) {
      this.attempts.cancel(record);
      this.repeatOrGiveUp(record, 'invalid');
    } else if (this.isWorthRepeating(record, head)) {
      logRepeat(this.options.context, record, 'serverError');
      this.attempts.cancel(record);
      this.place(record);
    } else if (!mayRunAgain(record) && PROMISING_STATUSES.has(head.status)) {
      this.attempts.cancel(record);
      this.giveUp(record, 'broken');
    } else {
      this.relay(record, attempt);
    }
  }

  acceptEvent(attemptId: string, eventId: string | undefined): void {
    const record = this.attempts.find(attemptId);
    if (record?.attempt === undefined) return;
    if (eventId !== undefined) record.lastEventId = eventId;
    recordEvent(record.times, this.options.context.nowMs);
    this.reportSign(record.attempt);
    this.attempts.acceptEvent(record, record.attempt);
  }

  acceptFlow(attemptId: string, flow: 'held' | 'flowing'): void {
    const record = this.attempts.find(attemptId);
    if (record?.attempt === undefined) return;
    this.attempts.acceptFlow(record, record.attempt, flow);
  }

  acceptEnd(attemptId: string): void {
    const record = this.attempts.find(attemptId);
    if (record === undefined) return;
    const isLate = logIfLate(this.options.context, record);
    this.attempts.detach(record);
    this.options.context.emit({ kind: 'caller.finish', requestId: record.request.requestId });
    this.close(record, isLate ? 'late' : 'served');
  }

  acceptFailure({ attemptId, failure, detail, atFault }: AttemptFailed): void {
    const record = this.attempts.find(attemptId);
    const attempt = record?.attempt;
    if (record === undefined || attempt === undefined) return;
    const { context, health } = this.options;
    const { id: failedId } = findFailed(attempt, atFault);
    logFailure(context, record, { failed: failedId, failure, detail });
    health.reportFailure(failedId, context.nowMs);
    if (CONNECTION_FAILURES.has(failure)) this.reportLoss(record, attempt);
    this.attempts.detach(record);
    releaseReservations(record);
    record.avoided.add(failedId);
    this.repeatOrGiveUp(record, failure);
  }

  /** Something came from the endpoint: its failure domain can be reached. */
  private reportSign({ endpoint }: GatewayAttempt): void {
    const { reach, context } = this.options;
    reach.reportAnswer(endpoint.failureDomain, context.nowMs);
  }

  private reportLoss(record: GatewayRecord, { endpoint }: GatewayAttempt): void {
    const { reach, context } = this.options;
    record.lostEndpoint = true;
    reach.reportLoss(endpoint.failureDomain, endpoint.id, context.nowMs);
  }

  private acceptSilence(record: GatewayRecord, attempt: GatewayAttempt): void {
    if (record.attempt !== attempt) return;
    const { context, health, budget } = this.options;
    // The silent engine may have run it as well.
    if (!mayRepeat({ ...record, runs: record.runs + 1 })) return;
    if (!budget.takeRepeat(record.service.name, context.nowMs)) return;
    health.reportFailure(attempt.endpoint.id, context.nowMs);
    this.reportLoss(record, attempt);
    // Connections to it may have fallen silent for good.
    context.emit({ kind: 'endpoint.forgotten', endpoint: attempt.endpoint.id });
    this.attempts.cancel(record);
    releaseReservations(record);
    record.avoided.add(attempt.endpoint.id);
    record.runs += 1;
    logRepeat(this.options.context, record, 'silent');
    this.place(record);
  }

  private place(record: GatewayRecord): void {
    const { context, desk } = this.options;
    this.stopWaiting(record);
    releaseReservations(record);
    const leastMs = Math.max(MIN_ATTEMPT_MS, estimateLeastMs(record, MAX_HELPERS + 1));
    const endMs = record.headPassed ? record.deadlineMs : record.patienceEndMs;
    if (context.nowMs + leastMs >= endMs) {
      this.giveUp(record, 'noRoom');
      return;
    }
    const decision = desk.decide(record);
    if (decision.kind === 'noEndpoint') {
      this.giveUp(record, 'noEndpoint');
    } else if (decision.kind === 'wait') {
      this.wait(record);
    } else {
      record.basis = decision.basis;
      this.reserveAndStart(record, decision);
    }
  }

  /** Memory on other engines is reserved first; where that fails, the request waits again. */
  private reserveAndStart(record: GatewayRecord, plan: AttemptPlan): void {
    if (plan.helpers.every(({ reservedTokens }) => reservedTokens === 0)) {
      this.attempts.start(record, plan);
      return;
    }
    record.reservations = this.options.reservations.reserve(plan.helpers, (reserved) => {
      if (reserved === undefined) {
        record.reservations = undefined;
        this.wait(record);
      } else if (this.areServing(plan)) {
        this.attempts.start(record, plan);
      } else {
        releaseReservations(record);
        this.wait(record);
      }
    });
  }

  /** Engines may have left while memory was being reserved. */
  private areServing({ endpoint, helpers }: AttemptPlan): boolean {
    const { table } = this.options;
    return [endpoint, ...helpers.map((helper) => helper.endpoint)].every(({ id }) =>
      table.isServing(id),
    );
  }

  private wait(record: GatewayRecord): void {
    if (!this.waiting.add(record)) {
      this.giveUp(record, 'noRoom');
      return;
    }
    this.waitingTimer ??= this.options.context.schedule(PLACE_AGAIN_MS, () => {
      this.waitingTimer = undefined;
      this.placeWaiting();
    });
  }

  /** Tries again to place what waits. Work that ends at a peer is seen with the next try. */
  private placeWaiting(): void {
    this.waiting.listInOrder(this.options.context.nowMs).forEach((record) => {
      if (this.waiting.has(record)) this.place(record);
    });
  }

  private stopWaiting(record: GatewayRecord): void {
    this.waiting.remove(record);
  }

  private relay(record: GatewayRecord, attempt: GatewayAttempt): void {
    const { requestId } = record.request;
    record.headPassed = true;
    this.options.context.emit({
      kind: 'caller.relay',
      requestId,
      attemptId: attempt.attemptId,
    });
  }

  /** An endpoint's failure of a call that may be repeated is tried once more elsewhere. */
  private isWorthRepeating(record: GatewayRecord, head: GatewayAnswerHead): boolean {
    if (head.status < FIRST_SERVER_ERROR || record.headPassed || record.attempt === undefined) {
      return false;
    }
    record.runs += 1;
    if (!mayRunAgain(record) || !mayRepeat(record)) return false;
    const { budget, context } = this.options;
    if (!budget.takeRepeat(record.service.name, context.nowMs)) return false;
    record.avoided.add(record.attempt.endpoint.id);
    return true;
  }

  private repeatOrGiveUp(record: GatewayRecord, failure: GatewayAttemptFailure): void {
    if (failure === 'notSent') record.unsent += 1;
    else if (failure === 'broken' || failure === 'invalid') record.runs += 1;
    const hasRun = record.runs > 0;
    if (hasRun && !mayRunAgain(record)) {
      this.giveUp(record, 'broken');
    } else if (mayRepeat(record) && this.takeBudget(record, failure)) {
      logRepeat(this.options.context, record, failure);
      this.place(record);
    } else {
      this.giveUp(record, hasRun ? 'broken' : 'rejected');
    }
  }

  /** What never left is no repeat. */
  private takeBudget(record: GatewayRecord, failure: GatewayAttemptFailure): boolean {
    const { budget, context } = this.options;
    if (failure === 'notSent') return record.unsent <= MAX_EXTRA_ATTEMPTS;
    return budget.takeRepeat(record.service.name, context.nowMs);
  }

  private expire(requestId: string): void {
    const record = this.records.get(requestId);
    if (record === undefined) return;
    if (record.attempt !== undefined) record.runs += 1;
    this.attempts.cancel(record);
    this.giveUp(record, 'timeout');
  }

  /** The final answer of a request that can't be served. */
  private giveUp(record: GatewayRecord, reason: GatewayRefusalReason): void {
    const { context } = this.options;
    const { requestId } = record.request;
    if (record.headPassed) {
      logBrokenOff(context, record, reason);
      context.emit({ kind: 'caller.breakOff', requestId });
      this.close(record, 'brokenOff');
      return;
    }
    const refusal = createRefusal(record, reason, context.drawRandom());
    logRefusal(context, record, reason);
    context.emit({ kind: 'caller.refuse', requestId, refusal });
    this.close(record, refusal.reason);
  }

  private close(record: GatewayRecord, outcome: RequestOutcome): void {
    const { context } = this.options;
    this.stopWaiting(record);
    record.deadlineTimer?.cancel();
    this.attempts.detach(record);
    releaseReservations(record);
    this.records.delete(record.request.requestId);
    const measured = measureRequest(record, outcome, context.nowMs);
    context.emit({ kind: 'request.measured', measured });
    if (this.records.size === 0) this.options.onIdle();
  }
}
