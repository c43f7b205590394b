import { logEvents, type AttemptId, type RequestContract, type RequestId } from '@savorywind/model';
import { assertOwnAnswer } from '../invariants/promises.js';
import { AnswerRecorder } from '../ledger/answer-recorder.js';
import { RetryBudgets } from '../retries/retry-budgets.js';
import type { NodeEvent, RequestView } from '../seam/types.js';
import { AttemptRecovery } from './attempt-recovery.js';
import { AttemptStarter } from './attempt-starter.js';
import { CallerAnswers } from './caller-answers.js';
import { DRAIN_SETTLE_MS } from './consts.js';
import type { LifecycleDependencies } from './lifecycle-dependencies.js';
import { ModelRequests } from './model-requests.js';
import { RequestSteps } from './request-steps.js';
import { createRecord, RequestTable } from './request-table.js';
import { ServiceCalls } from './service-calls.js';
import type { ModelRecord, RequestRecord, ServiceRecord } from './types.js';

type AttemptEvent = Extract<NodeEvent, { readonly attemptId: AttemptId }>;
type EventOf<Kind extends AttemptEvent['kind']> = Extract<AttemptEvent, { readonly kind: Kind }>;

/** Takes each request from arrival to exactly one final answer within its time. */
export class RequestLifecycle {
  private readonly table = new RequestTable();

  private readonly answers: CallerAnswers;

  private readonly steps: RequestSteps;

  private readonly modelRequests: ModelRequests;

  private readonly serviceCalls: ServiceCalls;

  private readonly recovery: AttemptRecovery;

  private waitsForLedger = true;

  constructor(private readonly dependencies: LifecycleDependencies) {
    const { table } = this;
    const { context } = dependencies;
    const budgets = new RetryBudgets();
    const starter = new AttemptStarter(context, table, budgets);
    const answers = new CallerAnswers(context);
    const steps = new RequestSteps(dependencies, table, answers, budgets);
    const modelRequests = new ModelRequests(dependencies, table, steps, starter);
    const serviceCalls = new ServiceCalls(dependencies, steps, starter, answers);
    this.answers = answers;
    this.steps = steps;
    this.modelRequests = modelRequests;
    this.serviceCalls = serviceCalls;
    this.recovery = new AttemptRecovery(
      dependencies,
      table,
      steps,
      starter,
      modelRequests,
      serviceCalls,
    );
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
    const timer = context.schedule(timeoutMs, () => this.steps.expireRequest(requestId));
    const record = createRecord(contract, readConfiguration(), context.nowMs, timer);
    this.table.add(record);
    context.log(logEvents.requestAdmitted, { request: requestId, team });
    if (contract.kind === 'model') this.modelRequests.queue(record as ModelRecord);
    else this.serviceCalls.begin(record as ServiceRecord);
  }

  /** The caller went away. A claimed call that is out runs on, so that its answer can be stored. */
  abandon(requestId: RequestId): void {
    const record = this.table.find(requestId);
    if (record === undefined) return;
    record.callerGone = true;
    if (record.claim === undefined || record.attempt === undefined) {
      this.steps.close(record, 'cancelled');
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
      this.recovery.cancelAttempt(record, 'invalid');
      return;
    }
    this.dependencies.router.recordFirstToken(record.contract.requestId);
    const verdict = record.answer.acceptChunk(event.offset, event.count, event.data);
    if (verdict.kind === 'pass') {
      record.recorder?.addChunk(verdict.data);
      this.answers.sendChunk(record, verdict.count, verdict.data);
    } else if (verdict.kind === 'fault') {
      if (verdict.fault === 'diverged') this.recovery.refuseDiverged(record);
      else this.recovery.cancelAttempt(record, 'invalid');
    }
  }

  acceptEnd(event: EventOf<'attempt.ended'>): void {
    const record = this.table.findByAttempt(event.attemptId);
    if (record?.attempt === undefined) return;
    const { attempt, answer } = record;
    assertOwnAnswer(record.contract.requestId, event.attemptId, attempt.attemptId);
    const isWhole = attempt.headReceived && answer.isWhole(event.total);
    // Stored also where the deadline has passed: the same key gets the answer later.
    if (isWhole) this.steps.settleAnswered(record);
    if (this.steps.expireIfLate(record)) return;
    if (answer.isRepeating) {
      this.recovery.refuseDiverged(record);
    } else if (!isWhole) {
      this.recovery.cancelAttempt(record, 'invalid');
    } else {
      this.dependencies.membership.reportOutcome(attempt.endpoint.id, 'answered');
      this.answers.finish(record, event);
      this.table.detachAttempt(record);
      this.steps.close(record, 'finished');
    }
  }

  acceptFailure(event: EventOf<'attempt.failed'>): void {
    const record = this.findInTime(event.attemptId);
    if (record !== undefined) this.recovery.failAttempt(record, event.failure);
  }

  private findInTime(attemptId: AttemptId): RequestRecord | undefined {
    const record = this.table.findByAttempt(attemptId);
    if (record?.attempt === undefined || this.steps.expireIfLate(record)) return undefined;
    assertOwnAnswer(record.contract.requestId, attemptId, record.attempt.attemptId);
    return record;
  }
}
