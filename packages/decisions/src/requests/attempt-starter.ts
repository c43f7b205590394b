import { logEvents, type Endpoint } from '@savorywind/model';
import {
  assertClaimedBeforeSend,
  assertRetryIsBudgeted,
  assertRunsAtMostOnce,
  assertWithinDeadline,
} from '../invariants/assertions.js';
import { formatStreamId } from '../recovery/stream-id.js';
import type { RetryBudgets } from '../retries/retry-budgets.js';
import type { NodeContext } from '../context/node-context.js';
import { describeRepeatability, isRepeatable } from './recovery.js';
import type { RequestTable } from './request-table.js';
import type { Attempt, RequestRecord } from './types.js';

const assertMayStart = (record: RequestRecord): void => {
  const { requestId } = record.contract;
  if (!isRepeatable(record)) assertRunsAtMostOnce(requestId, record.runTracker);
  if (describeRepeatability(record) === 'claimedCall') {
    assertClaimedBeforeSend(requestId, record.claim !== undefined);
  }
};

/** Starts attempts at endpoints, after asserting that the request may be sent. */
export class AttemptStarter {
  constructor(
    private readonly context: NodeContext,
    private readonly table: RequestTable,
    private readonly budgets: RetryBudgets,
  ) {}

  /** Starts an attempt that delivers the answer from its beginning. */
  start(record: RequestRecord, endpoint: Endpoint, priority: number): void {
    assertMayStart(record);
    record.runTracker.recordStart();
    record.answer.restart();
    const { context } = this;
    const attemptId = context.createId();
    const { id: vmId, incarnation } = context.self;
    const owner = { vmId, incarnation, timeoutMs: record.deadlineMs - context.nowMs };
    this.send(record, {
      attemptId,
      endpoint,
      streamId: formatStreamId(owner, attemptId),
      priority,
      mode: 'new',
      startCount: record.answer.sentCount,
      hasReceivedHead: false,
    });
  }

  /** Requests the rest of a stream from the engine of a broken attempt. */
  resume(record: RequestRecord, brokenAttempt: Attempt): void {
    record.answer.resume();
    this.send(record, {
      ...brokenAttempt,
      attemptId: this.context.createId(),
      mode: 'resume',
      startCount: record.answer.sentCount,
      hasReceivedHead: false,
    });
  }

  private send(record: RequestRecord, attempt: Attempt): void {
    const { context } = this;
    const { requestId, team } = record.contract;
    const { attemptId, endpoint, streamId, mode, priority } = attempt;
    assertWithinDeadline(requestId, context.nowMs, record.deadlineMs);
    assertRetryIsBudgeted(requestId, record.attempts, record.retryTokens);
    record.attempts += 1;
    if (record.attempts === 1) this.budgets.recordRequest(team, endpoint.id);
    else context.log(logEvents.attemptRetried, { request: requestId, endpoint: endpoint.id, mode });
    record.state = 'connecting';
    record.brokenAttempt = undefined;
    this.table.attachAttempt(record, attempt);
    context.emit({
      kind: 'attempt.start',
      attemptId,
      requestId,
      endpoint,
      streamId,
      mode,
      offset: mode === 'resume' ? record.answer.sentCount : 0,
      priority,
      timeoutMs: record.deadlineMs - context.nowMs,
      deadlineMs: record.deadlineMs,
      connection: isRepeatable(record) ? 'pooled' : 'fresh',
    });
  }
}
