import type {
  AttemptId,
  Configuration,
  MonotonicMs,
  RequestContract,
  RequestId,
} from '@savorywind/model';
import { RunTracker } from '../invariants/run-tracker.js';
import type { RequestView } from '../context/types.js';
import type { Timer } from '../timers/timer-queue.js';
import { AnswerProgress } from './answer-progress.js';
import type { Attempt, RequestRecord } from './types.js';

/** Creates the record of a request that has just arrived. */
export const createRecord = (
  contract: RequestContract,
  configuration: Configuration | undefined,
  nowMs: MonotonicMs,
  deadlineTimer: Timer,
): RequestRecord => ({
  contract,
  configuration,
  arrivedAtMs: nowMs,
  deadlineMs: nowMs + contract.timeoutMs,
  deadlineTimer,
  answer: new AnswerProgress(),
  runTracker: new RunTracker(),
  failedEndpoints: new Set(),
  state: 'queued',
  ran: 'no',
  attempt: undefined,
  brokenAttempt: undefined,
  attempts: 0,
  retries: 0,
  retryTokens: 0,
  retryTimer: undefined,
  claim: undefined,
  recorder: undefined,
  hasSentHead: false,
  hasCallerLeft: false,
  hasFinalAnswer: false,
});

const createView = (record: RequestRecord, nowMs: MonotonicMs): RequestView => {
  const { contract } = record;
  return {
    requestId: contract.requestId,
    team: contract.team,
    target: contract.kind === 'model' ? contract.model : contract.service,
    state: record.hasCallerLeft ? 'draining' : record.state,
    endpoint: record.attempt?.endpoint.id,
    ageMs: nowMs - record.arrivedAtMs,
    timeoutMs: contract.timeoutMs,
  };
};

/** Requests in flight, indexed by request id and by the id of the current attempt. */
export class RequestTable {
  private readonly records = new Map<RequestId, RequestRecord>();

  private readonly requestByAttempt = new Map<AttemptId, RequestId>();

  get size(): number {
    return this.records.size;
  }

  has(requestId: RequestId): boolean {
    return this.records.has(requestId);
  }

  find(requestId: RequestId): RequestRecord | undefined {
    return this.records.get(requestId);
  }

  /** Returns undefined for attempts that have ended, so that late events reach no caller. */
  findByAttempt(attemptId: AttemptId): RequestRecord | undefined {
    const requestId = this.requestByAttempt.get(attemptId);
    return requestId === undefined ? undefined : this.records.get(requestId);
  }

  add(record: RequestRecord): void {
    this.records.set(record.contract.requestId, record);
  }

  remove(record: RequestRecord): void {
    this.detachAttempt(record);
    this.records.delete(record.contract.requestId);
  }

  attachAttempt(record: RequestRecord, attempt: Attempt): void {
    record.attempt = attempt;
    this.requestByAttempt.set(attempt.attemptId, record.contract.requestId);
  }

  detachAttempt(record: RequestRecord): void {
    if (record.attempt !== undefined) this.requestByAttempt.delete(record.attempt.attemptId);
    record.attempt = undefined;
  }

  listViews(nowMs: MonotonicMs): RequestView[] {
    return [...this.records.values()].map((record) => createView(record, nowMs));
  }
}
