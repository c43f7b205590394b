import type { Endpoint, Refusal, RequestId } from '@savorywind/model';
import { estimateBackoffMs } from '../retries/backoff.js';
import type { RetryBudgets } from '../retries/retry-budgets.js';
import type { SlotOutcome } from '../routing/types.js';
import type { CallerAnswers } from './caller-answers.js';
import type { LifecycleDependencies } from './lifecycle-dependencies.js';
import { createFailure, createTimeout } from './refusals.js';
import type { RequestTable } from './request-table.js';
import type { Attempt, RequestRecord } from './types.js';

/** Steps that requests of all kinds share: how they end, and how they wait for another attempt. */
export class RequestSteps {
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

  close(record: RequestRecord, outcome: SlotOutcome): void {
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
      router.cancelSlotRequest(requestId);
      router.releaseSlot(requestId, outcome);
    }
    onIdle();
  }

  /** An event may come before the deadline's timer has run, after a pause of the process. */
  expireIfLate(record: RequestRecord): boolean {
    if (this.dependencies.context.nowMs < record.deadlineMs) return false;
    this.expireRequest(record.contract.requestId);
    return true;
  }

  expireRequest(requestId: RequestId): void {
    const record = this.table.find(requestId);
    if (record !== undefined) this.refuse(record, createTimeout(record), 'cancelled');
  }

  settleAnswered(record: RequestRecord): void {
    const { claim, recorder } = record;
    record.ran = 'yes';
    if (claim === undefined || recorder === undefined) return;
    record.claim = undefined;
    this.dependencies.ledger.settle(claim, { state: 'answered', answer: recorder.finish() });
  }

  /** The first attempt needs no token of the budgets. */
  mayStart(record: RequestRecord, endpoint: Endpoint): boolean {
    if (record.attempts === 0) return true;
    const stage = record.headSent ? 'begun' : 'unanswered';
    if (!this.budgets.takeRetry(record.contract.team, endpoint.id, stage)) return false;
    record.retryTokens += 1;
    return true;
  }

  /** Waits before another attempt; one that could not start in time is given up at once. */
  backOff(record: RequestRecord, retry: () => void): void {
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

  emitCancel({ attempt }: RequestRecord): void {
    if (attempt === undefined) return;
    this.dependencies.context.emit({ kind: 'attempt.cancel', attemptId: attempt.attemptId });
  }

  /** Frees the memory of a stream that nobody will resume; the engine's home sweeps what is lost. */
  releaseStream({ endpoint, streamId }: Attempt): void {
    if (endpoint.kind !== 'engine') return;
    const { context } = this.dependencies;
    context.callEngine(endpoint, { kind: 'stream.cancel', streamId }, () => {});
  }
}
