import { logEvents, type Endpoint } from '@savorywind/model';
import {
  assertClaimedBeforeSend,
  assertRetryIsBudgeted,
  assertRunsAtMostOnce,
  assertWithinDeadline,
} from '../invariants/promises.js';
import { formatStreamId } from '../recovery/stream-id.js';
import type { RetryBudgets } from '../retries/retry-budgets.js';
import type { NodeContext } from '../seam/node-context.js';
import { describeRepeatability, isRepeatable } from './recovery.js';
import type { RequestTable } from './request-table.js';
import type { Attempt, RequestRecord } from './types.js';

const checkStart = (record: RequestRecord): void => {
  const { requestId } = record.contract;
  if (!isRepeatable(record)) assertRunsAtMostOnce(requestId, record.evidence);
  if (describeRepeatability(record) === 'claimedCall') {
    assertClaimedBeforeSend(requestId, record.claim !== undefined);
  }
};

/** Sends requests to endpoints; each passes the checks of what may be sent. */
export class AttemptStarter {
  constructor(
    private readonly context: NodeContext,
    private readonly table: RequestTable,
    private readonly budgets: RetryBudgets,
  ) {}

  /** Starts the answer from its beginning. */
  start(record: RequestRecord, endpoint: Endpoint, priority: number): void {
    checkStart(record);
    record.evidence.recordStart();
    record.answer.restart();
    const { context } = this;
    const attemptId = context.createName();
    const { id: vmId, incarnation } = context.self;
    const owner = { vmId, incarnation, timeoutMs: record.deadlineMs - context.nowMs };
    this.send(record, {
      attemptId,
      endpoint,
      streamId: formatStreamId(owner, attemptId),
      priority,
      mode: 'new',
      startCount: record.answer.sentCount,
      headReceived: false,
    });
  }

  /** Asks the engine of a broken attempt for the rest of its stream. */
  resume(record: RequestRecord, broken: Attempt): void {
    record.answer.resume();
    this.send(record, {
      ...broken,
      attemptId: this.context.createName(),
      mode: 'resume',
      startCount: record.answer.sentCount,
      headReceived: false,
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
    record.broken = undefined;
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
