import { logEvents, type AttemptId, type RequestContract, type RequestId } from '@savorywind/model';
import { assertOwnAnswer } from '../invariants/assertions.js';
import { AnswerRecorder } from '../ledger/answer-recorder.js';
import { RetryBudgets } from '../retries/retry-budgets.js';
import type { NodeEvent, RequestView } from '../context/types.js';
import { AttemptRecovery } from './attempt-recovery.js';
import { AttemptStarter } from './attempt-starter.js';
import { CallerAnswers } from './caller-answers.js';
import { MAX_DRAIN_CLAIM_WAIT_MS } from './consts.js';
import type { LifecycleDependencies } from './lifecycle-dependencies.js';
import { ModelRequests } from './model-requests.js';
import { RequestOperations } from './request-operations.js';
import { createRecord, RequestTable } from './request-table.js';
import { ServiceCalls } from './service-calls.js';
import type { ModelRecord, RequestRecord, ServiceRecord } from './types.js';

type AttemptEvent = Extract<NodeEvent, { readonly attemptId: AttemptId }>;
type EventOf<Kind extends AttemptEvent['kind']> = Extract<AttemptEvent, { readonly kind: Kind }>;

/** Handles each request from arrival to exactly one final answer before its deadline. */
export class RequestLifecycle {
  private readonly table = new RequestTable();

  private readonly answers: CallerAnswers;

  private readonly operations: RequestOperations;

  private readonly modelRequests: ModelRequests;

  private readonly serviceCalls: ServiceCalls;

  private readonly recovery: AttemptRecovery;

  /** False once a drain has waited long enough for claim results to be written. */
  private mayWaitForLedger = true;

  constructor(private readonly dependencies: LifecycleDependencies) {
    const { table } = this;
    const { context } = dependencies;
    const budgets = new RetryBudgets();
    const attemptStarter = new AttemptStarter(context, table, budgets);
    const answers = new CallerAnswers(context);
    const operations = new RequestOperations(dependencies, table, answers, budgets);
    const modelRequests = new ModelRequests(dependencies, table, operations, attemptStarter);
    const serviceCalls = new ServiceCalls(dependencies, operations, attemptStarter, answers);
    this.answers = answers;
    this.operations = operations;
    this.modelRequests = modelRequests;
    this.serviceCalls = serviceCalls;
    this.recovery = new AttemptRecovery(
      dependencies,
      table,
      operations,
      attemptStarter,
      modelRequests,
      serviceCalls,
    );
  }

  get inFlight(): number {
    return this.table.size;
  }

  /** Whether no request is in flight, and no claim result remains that a drain should wait for. */
  get isIdle(): boolean {
    const { ledger } = this.dependencies;
    return this.table.size === 0 && (!this.mayWaitForLedger || ledger.pendingResultCount === 0);
  }

  listViews(): RequestView[] {
    return this.table.listViews(this.dependencies.context.nowMs);
  }

  /** Limits how long a drain waits for claim results while the table service is unavailable. */
  startDrain(): void {
    const { context, onIdle } = this.dependencies;
    context.schedule(MAX_DRAIN_CLAIM_WAIT_MS, () => {
      this.mayWaitForLedger = false;
      onIdle();
    });
  }

  admit(contract: RequestContract): void {
    const { context, readConfiguration } = this.dependencies;
    const { requestId, team, timeoutMs } = contract;
    if (this.table.has(requestId)) return;
    const timer = context.schedule(timeoutMs, () => this.operations.expireRequest(requestId));
    const record = createRecord(contract, readConfiguration(), context.nowMs, timer);
    this.table.add(record);
    context.log(logEvents.requestAdmitted, { request: requestId, team });
    if (contract.kind === 'model') this.modelRequests.queue(record as ModelRecord);
    else this.serviceCalls.start(record as ServiceRecord);
  }

  /**
   * Handles the loss of a caller: ends the request, except that a claimed call already sent to an
   * endpoint continues, so that its answer can be stored.
   */
  abandon(requestId: RequestId): void {
    const record = this.table.find(requestId);
    if (record === undefined) return;
    record.hasCallerLeft = true;
    if (record.claim === undefined || record.attempt === undefined) {
      this.operations.close(record, 'cancelled');
      return;
    }
    this.dependencies.context.log(logEvents.callerGone, { request: requestId });
  }

  handleHead(event: EventOf<'attempt.headReceived'>): void {
    const record = this.findBeforeDeadline(event.attemptId);
    if (record?.attempt === undefined || record.attempt.hasReceivedHead) return;
    record.attempt.hasReceivedHead = true;
    record.state = 'streaming';
    if (record.claim !== undefined && event.head !== undefined) {
      record.recorder = new AnswerRecorder(event.head);
    }
    this.answers.sendHead(record, event.head);
  }

  /** Sends the part of a chunk that the caller has not received yet. */
  handleChunk(event: EventOf<'attempt.chunkReceived'>): void {
    const record = this.findBeforeDeadline(event.attemptId);
    if (record?.attempt === undefined) return;
    if (!record.attempt.hasReceivedHead) {
      this.recovery.cancelAttempt(record, 'invalid');
      return;
    }
    this.dependencies.router.recordFirstToken(record.contract.requestId);
    const verdict = record.answer.addChunk(event.offset, event.count, event.data);
    if (verdict.kind === 'pass') {
      record.recorder?.addChunk(verdict.data);
      this.answers.sendChunk(record, verdict.count, verdict.data);
    } else if (verdict.kind === 'fault') {
      if (verdict.fault === 'diverged') this.recovery.refuseDiverged(record);
      else this.recovery.cancelAttempt(record, 'invalid');
    }
  }

  handleEnd(event: EventOf<'attempt.ended'>): void {
    const record = this.table.findByAttempt(event.attemptId);
    if (record?.attempt === undefined) return;
    const { attempt, answer } = record;
    const { router } = this.dependencies;
    assertOwnAnswer(record.contract.requestId, event.attemptId, attempt.attemptId);
    const isComplete = attempt.hasReceivedHead && answer.isComplete(event.total);
    // Also stored after the deadline, so that a repeated call with the same key gets the answer.
    if (isComplete) this.operations.writeAnswer(record);
    if (this.operations.expireIfLate(record)) return;
    if (answer.isCatchingUp) {
      this.recovery.refuseDiverged(record);
    } else if (!isComplete) {
      this.recovery.cancelAttempt(record, 'invalid');
    } else {
      this.dependencies.membership.reportOutcome(attempt.endpoint.id, 'answered');
      router.recordUsage(record.contract.requestId, event.usage);
      this.answers.finish(record, event);
      this.table.detachAttempt(record);
      this.operations.close(record, 'finished');
    }
  }

  handleFailure(event: EventOf<'attempt.failed'>): void {
    const record = this.findBeforeDeadline(event.attemptId);
    if (record !== undefined) this.recovery.failAttempt(record, event.failure);
  }

  /** Finds the request of an attempt; ends it and returns undefined if its deadline has passed. */
  private findBeforeDeadline(attemptId: AttemptId): RequestRecord | undefined {
    const record = this.table.findByAttempt(attemptId);
    if (record?.attempt === undefined || this.operations.expireIfLate(record)) return undefined;
    assertOwnAnswer(record.contract.requestId, attemptId, record.attempt.attemptId);
    return record;
  }
}
