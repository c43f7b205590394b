import {
  logEvents,
  resultCodes,
  type AttemptId,
  type Configuration,
  type Endpoint,
  type Refusal,
  type RequestContract,
  type RequestId,
} from '@savorywind/model';
import { assertOwnAnswer } from '../invariants/promises.js';
import { AnswerRecorder } from '../ledger/answer-recorder.js';
import type { ClaimDecision } from '../ledger/claim-decisions.js';
import type { ClaimLedger } from '../ledger/claim-ledger.js';
import type { Membership } from '../membership/types.js';
import { estimateBackoffMs } from '../retries/backoff.js';
import { RetryBudgets } from '../retries/retry-budgets.js';
import type { Router, SlotDecision, SlotOutcome } from '../routing/types.js';
import type { NodeContext } from '../seam/node-context.js';
import type { AttemptFailure, NodeEvent, RequestView } from '../seam/types.js';
import { AttemptStarter } from './attempt-starter.js';
import { CallerAnswers, createNotStored } from './caller-answers.js';
import { DRAIN_SETTLE_MS } from './consts.js';
import { mergeRan, OUTCOME_AFTER_FAILURE, RAN_AFTER_FAILURE } from './outcome-tables.js';
import { decideRecovery, describeRepeatability, type Recovery } from './recovery.js';
import { createFailure, createNoEndpoint, createTimeout } from './refusals.js';
import { pickReplica } from './replica-choice.js';
import { createRecord, RequestTable } from './request-table.js';
import type { Attempt, ModelRecord, RequestRecord, ServiceRecord } from './types.js';

type AttemptEvent = Extract<NodeEvent, { readonly attemptId: AttemptId }>;
type EventOf<Kind extends AttemptEvent['kind']> = Extract<AttemptEvent, { readonly kind: Kind }>;

interface Dependencies {
  readonly context: NodeContext;
  readonly router: Router;
  readonly ledger: ClaimLedger;
  readonly membership: Membership;
  readonly readConfiguration: () => Configuration | undefined;
  readonly onIdle: () => void;
}

/** Takes each request from arrival to exactly one final answer within its time. */
export class RequestLifecycle {
  private readonly table = new RequestTable();

  private readonly budgets = new RetryBudgets();

  private readonly answers: CallerAnswers;

  private readonly starter: AttemptStarter;

  private waitsForLedger = true;

  constructor(private readonly dependencies: Dependencies) {
    this.answers = new CallerAnswers(dependencies.context);
    this.starter = new AttemptStarter(dependencies.context, this.table, this.budgets);
  }

  get inFlight(): number {
    return this.table.size;
  }

  /** Whether nothing is in flight, and results of claims are written as far as can be waited for. */
  get isIdle(): boolean {
    const { ledger } = this.dependencies;
    return this.table.size === 0 && (!this.waitsForLedger || ledger.unsettledCount === 0);
  }

  listViews(): RequestView[] {
    return this.table.listViews(this.dependencies.context.nowMs);
  }

  /** Bounds how long a table service that is down can hold up a drain. */
  startDrain(): void {
    const { context, onIdle } = this.dependencies;
    context.schedule(DRAIN_SETTLE_MS, () => {
      this.waitsForLedger = false;
      onIdle();
    });
  }

  admit(contract: RequestContract): void {
    const { context, readConfiguration } = this.dependencies;
    const { requestId, team, timeoutMs } = contract;
    if (this.table.has(requestId)) return;
    const timer = context.schedule(timeoutMs, () => this.expireRequest(requestId));
    const record = createRecord(contract, readConfiguration(), context.nowMs, timer);
    this.table.add(record);
    context.log(logEvents.requestAdmitted, { request: requestId, team });
    if (contract.kind === 'model') this.queueModelRequest(record as ModelRecord);
    else this.beginServiceCall(record as ServiceRecord);
  }

  /** The caller went away. A claimed call that is out runs on, so that its answer can be stored. */
  abandon(requestId: RequestId): void {
    const record = this.table.find(requestId);
    if (record === undefined) return;
    record.callerGone = true;
    if (record.claim === undefined || record.attempt === undefined) {
      this.close(record, 'cancelled');
      return;
    }
    this.dependencies.context.log(logEvents.callerGone, { request: requestId });
  }

  acceptHead(event: EventOf<'attempt.headReceived'>): void {
    const record = this.findInTime(event.attemptId);
    if (record?.attempt === undefined || record.attempt.headReceived) return;
    record.attempt.headReceived = true;
    record.state = 'streaming';
    if (record.claim !== undefined && event.head !== undefined) {
      record.recorder = new AnswerRecorder(event.head);
    }
    this.answers.sendHead(record, event.head);
  }

  /** Passes on what the caller has not had yet. */
  acceptChunk(event: EventOf<'attempt.chunkReceived'>): void {
    const record = this.findInTime(event.attemptId);
    if (record?.attempt === undefined) return;
    if (!record.attempt.headReceived) {
      this.cancelAttempt(record, 'invalid');
      return;
    }
    const verdict = record.answer.acceptChunk(event.offset, event.count, event.data);
    if (verdict.kind === 'pass') {
      record.recorder?.addChunk(verdict.data);
      this.answers.sendChunk(record, verdict.count, verdict.data);
    } else if (verdict.kind === 'fault') {
      if (verdict.fault === 'diverged') this.refuseDiverged(record);
      else this.cancelAttempt(record, 'invalid');
    }
  }

  acceptEnd(event: EventOf<'attempt.ended'>): void {
    const record = this.table.findByAttempt(event.attemptId);
    if (record?.attempt === undefined) return;
    const { attempt, answer } = record;
    assertOwnAnswer(record.contract.requestId, event.attemptId, attempt.attemptId);
    const isWhole = attempt.headReceived && answer.isWhole(event.total);
    // Stored also where the deadline has passed: the same key gets the answer later.
    if (isWhole) this.settleAnswered(record);
    if (this.expireIfLate(record)) return;
    if (answer.isRepeating) {
      this.refuseDiverged(record);
    } else if (!isWhole) {
      this.cancelAttempt(record, 'invalid');
    } else {
      this.dependencies.membership.reportOutcome(attempt.endpoint.id, 'answered');
      this.answers.finish(record, event);
      this.table.detachAttempt(record);
      this.close(record, 'finished');
    }
  }

  acceptFailure(event: EventOf<'attempt.failed'>): void {
    const record = this.findInTime(event.attemptId);
    if (record !== undefined) this.failAttempt(record, event.failure);
  }

  private queueModelRequest(record: ModelRecord): void {
    const { contract, deadlineMs, avoided: avoid } = record;
    record.state = 'queued';
    this.dependencies.router.askSlot({ contract, deadlineMs, avoid }, (decision) => {
      if (this.table.find(contract.requestId) === record) this.acceptSlot(record, decision);
    });
  }

  private acceptSlot(record: ModelRecord, decision: SlotDecision): void {
    if (this.expireIfLate(record)) return;
    if (decision.kind === 'refused') {
      const ran = mergeRan(record.ran, decision.refusal.ran);
      this.refuse(record, { ...decision.refusal, ran }, 'cancelled');
      return;
    }
    const { engine, priority } = decision;
    if (this.mayStart(record, engine)) {
      this.starter.start(record, engine, priority);
      return;
    }
    this.dependencies.router.releaseSlot(record.contract.requestId, 'cancelled');
    this.backOff(record, () => this.queueModelRequest(record));
  }

  private beginServiceCall(record: ServiceRecord): void {
    const repeatability = describeRepeatability(record);
    if (repeatability === 'singleCall' && this.readUnkeyedPolicy(record) === 'refuse') {
      this.refuse(record, { code: resultCodes.keyRequired, ran: 'no' }, 'cancelled');
    } else if (repeatability === 'claimedCall') {
      this.claimCall(record);
    } else {
      this.startOnReplica(record);
    }
  }

  private claimCall(record: ServiceRecord): void {
    if (this.pickReplica(record) === undefined) {
      this.refuse(record, createNoEndpoint(record), 'cancelled');
      return;
    }
    record.state = 'claiming';
    const { contract, deadlineMs } = record;
    this.dependencies.ledger.claim(contract, deadlineMs, (decision) =>
      this.acceptClaim(record, decision),
    );
  }

  private acceptClaim(record: ServiceRecord, decision: ClaimDecision): void {
    if (decision.kind === 'send') record.claim = decision.claim;
    record.state = 'queued';
    if (this.expireIfLate(record)) return;
    if (decision.kind === 'send') {
      this.startOnReplica(record);
    } else if (decision.kind === 'refused') {
      this.refuse(record, decision.refusal, 'cancelled');
    } else if (decision.answer.kind === 'summary') {
      this.refuse(record, createNotStored(decision.answer), 'cancelled');
    } else {
      this.answers.replay(record, decision.answer);
      this.close(record, 'finished');
    }
  }

  private startOnReplica(record: ServiceRecord): void {
    const replica = this.pickReplica(record);
    if (replica === undefined) {
      this.refuse(record, createNoEndpoint(record), 'cancelled');
    } else if (this.mayStart(record, replica)) {
      this.starter.start(record, replica, 0);
    } else {
      this.backOff(record, () => this.startOnReplica(record));
    }
  }

  private pickReplica({ contract, avoided }: ServiceRecord) {
    const { context, membership, readConfiguration } = this.dependencies;
    const random = context.drawRandom();
    return pickReplica(readConfiguration(), contract.service, avoided, membership, random);
  }

  /** A request keeps the policy under which it was admitted; endpoints are those in force. */
  // eslint-disable-next-line class-methods-use-this
  private readUnkeyedPolicy({ configuration, contract }: ServiceRecord): 'sendOnce' | 'refuse' {
    const services = configuration?.services ?? [];
    return services.find(({ id }) => id === contract.service)?.unkeyedCalls ?? 'refuse';
  }

  /** The first attempt needs no token of the budgets. */
  private mayStart(record: RequestRecord, endpoint: Endpoint): boolean {
    if (record.attempts === 0) return true;
    if (!this.budgets.takeRetry(record.contract.team, endpoint.id)) return false;
    record.retryTokens += 1;
    return true;
  }

  /** Ends an attempt whose answer can't be used, and tells the endpoint. */
  private cancelAttempt(record: RequestRecord, failure: AttemptFailure): void {
    this.emitCancel(record);
    this.failAttempt(record, failure);
  }

  private failAttempt(record: RequestRecord, failure: AttemptFailure): void {
    const { attempt, contract } = record;
    if (attempt === undefined) return;
    const { context, membership } = this.dependencies;
    const ran = attempt.headReceived ? 'yes' : RAN_AFTER_FAILURE[failure];
    record.ran = mergeRan(record.ran, ran);
    if (attempt.mode === 'new') record.evidence.recordFailure(failure, attempt.headReceived);
    const { requestId: request } = contract;
    const endpoint = attempt.endpoint.id;
    membership.reportOutcome(endpoint, failure);
    context.log(logEvents.attemptFailed, { request, endpoint, failure });
    this.table.detachAttempt(record);
    this.recover(record, attempt, failure);
  }

  private recover(record: RequestRecord, attempt: Attempt, failure: AttemptFailure): void {
    const handlers: Readonly<Record<Recovery, () => void>> = {
      resume: () => {
        record.state = 'resuming';
        record.broken = attempt;
        this.backOff(record, () => this.resumeStream(record, attempt));
      },
      restart: () => this.restart(record, attempt, failure),
      giveUp: () => {
        this.releaseStream(attempt);
        this.refuse(record, createFailure(record), OUTCOME_AFTER_FAILURE[failure]);
      },
    };
    handlers[decideRecovery(record, attempt, failure)]();
  }

  private resumeStream(record: RequestRecord, attempt: Attempt): void {
    if (this.mayStart(record, attempt.endpoint)) this.starter.resume(record, attempt);
    else this.backOff(record, () => this.resumeStream(record, attempt));
  }

  private restart(record: RequestRecord, attempt: Attempt, failure: AttemptFailure): void {
    const { contract } = record;
    this.releaseStream(attempt);
    record.avoided.add(attempt.endpoint.id);
    record.state = 'backingOff';
    if (contract.kind === 'service') {
      this.backOff(record, () => this.startOnReplica(record as ServiceRecord));
      return;
    }
    this.dependencies.router.releaseSlot(contract.requestId, OUTCOME_AFTER_FAILURE[failure]);
    this.backOff(record, () => this.queueModelRequest(record as ModelRecord));
  }

  /** Waits before another attempt; one that could not start in time is given up at once. */
  private backOff(record: RequestRecord, retry: () => void): void {
    const { context } = this.dependencies;
    record.retries += 1;
    const delayMs = estimateBackoffMs(record.retries, context.drawRandom());
    if (context.nowMs + delayMs >= record.deadlineMs) {
      this.refuse(record, createFailure(record), 'cancelled');
      return;
    }
    record.retryTimer = context.schedule(delayMs, () => {
      if (!this.expireIfLate(record)) retry();
    });
  }

  private refuseDiverged(record: RequestRecord): void {
    const { context } = this.dependencies;
    record.ran = 'yes';
    context.log(logEvents.answerDiverged, { request: record.contract.requestId });
    this.refuse(record, { code: resultCodes.answerDiverged, ran: 'yes' }, 'cancelled');
  }

  private settleAnswered(record: RequestRecord): void {
    const { claim, recorder } = record;
    record.ran = 'yes';
    if (claim === undefined || recorder === undefined) return;
    record.claim = undefined;
    this.dependencies.ledger.settle(claim, { state: 'answered', answer: recorder.finish() });
  }

  /** An event may come before the deadline's timer has run, after a pause of the process. */
  private expireIfLate(record: RequestRecord): boolean {
    if (this.dependencies.context.nowMs < record.deadlineMs) return false;
    this.expireRequest(record.contract.requestId);
    return true;
  }

  private expireRequest(requestId: RequestId): void {
    const record = this.table.find(requestId);
    if (record !== undefined) this.refuse(record, createTimeout(record), 'cancelled');
  }

  private refuse(record: RequestRecord, refusal: Refusal, outcome: SlotOutcome): void {
    this.answers.refuse(record, refusal);
    this.close(record, outcome);
  }

  private close(record: RequestRecord, outcome: SlotOutcome): void {
    const { router, ledger, onIdle } = this.dependencies;
    const { requestId, kind } = record.contract;
    record.deadlineTimer.cancel();
    record.retryTimer?.cancel();
    this.emitCancel(record);
    if (record.broken !== undefined) this.releaseStream(record.broken);
    this.table.remove(record);
    ledger.withdraw(requestId);
    if (record.claim !== undefined) {
      ledger.settle(record.claim, { state: record.ran === 'no' ? 'notRun' : 'unknown' });
    }
    if (kind === 'model') {
      router.withdrawAsk(requestId);
      router.releaseSlot(requestId, outcome);
    }
    onIdle();
  }

  private emitCancel({ attempt }: RequestRecord): void {
    if (attempt === undefined) return;
    this.dependencies.context.emit({ kind: 'attempt.cancel', attemptId: attempt.attemptId });
  }

  /** Frees the memory of a stream that nobody will resume; the engine's home sweeps what is lost. */
  private releaseStream({ endpoint, streamId }: Attempt): void {
    if (endpoint.kind !== 'engine') return;
    const { context } = this.dependencies;
    context.callEngine(endpoint, { kind: 'stream.cancel', streamId }, () => {});
  }

  private findInTime(attemptId: AttemptId): RequestRecord | undefined {
    const record = this.table.findByAttempt(attemptId);
    if (record?.attempt === undefined || this.expireIfLate(record)) return undefined;
    assertOwnAnswer(record.contract.requestId, attemptId, record.attempt.attemptId);
    return record;
  }
}
