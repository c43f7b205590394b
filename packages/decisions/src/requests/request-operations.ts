import type { Endpoint, Refusal, RequestId } from '@savorywind/model';
import { estimateBackoffMs } from '../retries/backoff.js';
import type { RetryBudgets } from '../retries/retry-budgets.js';
import type { SlotOutcome } from '../routing/types.js';
import type { CallerAnswers } from './caller-answers.js';
import type { LifecycleDependencies } from './lifecycle-dependencies.js';
import { createFailureRefusal, createTimeoutRefusal } from './refusals.js';
import type { RequestTable } from './request-table.js';
import type { Attempt, RequestRecord } from './types.js';

/** Operations that all kinds of requests share: ending a request and scheduling a retry. */
export class RequestOperations {
  constructor(
    private readonly dependencies: LifecycleDependencies,
    private readonly table: RequestTable,
    private readonly answers: CallerAnswers,
    private readonly budgets: RetryBudgets,
  ) {}

  refuse(record: RequestRecord, refusal: Refusal, outcome: SlotOutcome): void {
    this.answers.refuse(record, refusal);
    this.close(record, outcome);
  }

  /** Ends a request: cancels its attempt, and releases its timers, claim and slot. */
  close(record: RequestRecord, outcome: SlotOutcome): void {
    const { router, ledger, onIdle } = this.dependencies;
    const { requestId, kind } = record.contract;
    record.deadlineTimer.cancel();
    record.retryTimer?.cancel();
    this.emitCancel(record);
    if (record.brokenAttempt !== undefined) this.releaseStream(record.brokenAttempt);
    this.table.remove(record);
    ledger.cancel(requestId);
    if (record.claim !== undefined) {
      ledger.writeResult(record.claim, { state: record.ran === 'no' ? 'notRun' : 'unknown' });
    }
    if (kind === 'model') {
      router.cancelSlotRequest(requestId);
      router.releaseSlot(requestId, outcome);
    }
    onIdle();
  }

  /**
   * Ends a request whose deadline has passed. Needed besides the timer, because after the
   * process was suspended another event may be handled before the timer runs.
   *
   * @returns whether the request was ended
   */
  expireIfLate(record: RequestRecord): boolean {
    if (this.dependencies.context.nowMs < record.deadlineMs) return false;
    this.expireRequest(record.contract.requestId);
    return true;
  }

  expireRequest(requestId: RequestId): void {
    const record = this.table.find(requestId);
    if (record !== undefined) this.refuse(record, createTimeoutRefusal(record), 'cancelled');
  }

  /** Records that the request ran, and stores its answer if the call is claimed. */
  writeAnswer(record: RequestRecord): void {
    const { claim, recorder } = record;
    record.ran = 'yes';
    if (claim === undefined || recorder === undefined) return;
    record.claim = undefined;
    this.dependencies.ledger.writeResult(claim, { state: 'answered', answer: recorder.finish() });
  }

  /**
   * Whether an attempt may start. Each attempt except the first takes a token from the retry
   * budgets.
   */
  mayStart(record: RequestRecord, endpoint: Endpoint): boolean {
    if (record.attempts === 0) return true;
    const stage = record.hasSentHead ? 'begun' : 'unanswered';
    if (!this.budgets.takeRetry(record.contract.team, endpoint.id, stage)) return false;
    record.retryTokens += 1;
    return true;
  }

  /**
   * Schedules a retry after a backoff; refuses the request if the retry would miss the deadline.
   */
  scheduleRetry(record: RequestRecord, retry: () => void): void {
    const { context } = this.dependencies;
    record.retries += 1;
    const delayMs = estimateBackoffMs(record.retries, context.drawRandom());
    if (context.nowMs + delayMs >= record.deadlineMs) {
      this.refuse(record, createFailureRefusal(record), 'cancelled');
      return;
    }
    record.retryTimer = context.schedule(delayMs, () => {
      if (!this.expireIfLate(record)) retry();
    });
  }

  emitCancel({ attempt }: RequestRecord): void {
    if (attempt === undefined) return;
    this.dependencies.context.emit({ kind: 'attempt.cancel', attemptId: attempt.attemptId });
  }

  /**
   * Frees the memory of a stream that will not be resumed. If the call is lost, the sweep by the
   * engine's coordinator releases the stream.
   */
  releaseStream({ endpoint, streamId }: Attempt): void {
    if (endpoint.kind !== 'engine') return;
    const { context } = this.dependencies;
    context.callEngine(endpoint, { kind: 'stream.cancel', streamId }, () => {});
  }
}
