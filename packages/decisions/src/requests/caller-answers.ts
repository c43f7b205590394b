import { logEvents, resultCodes, type Refusal } from '@savorywind/model';
import {
  assertAnswerIsWhole,
  assertFinalAnswerOnce,
  assertRefusalIsTrue,
} from '../invariants/assertions.js';
import { decodeBody } from '../ledger/answer-recorder.js';
import type { StoredAnswer } from '../ledger/types.js';
import type { NodeContext } from '../context/node-context.js';
import type { AnswerHead, ChunkData, NodeEvent } from '../context/types.js';
import { REPLAYED_HEADER } from './consts.js';
import type { RequestRecord } from './types.js';

export type AnswerEnd = Extract<NodeEvent, { readonly kind: 'attempt.ended' }>;

type CompleteAnswer = Extract<StoredAnswer, { readonly kind: 'whole' }>;

/** Creates the refusal of a repeated call whose answer was too large to be stored. */
export const createNotStoredRefusal = (
  answer: Extract<StoredAnswer, { readonly kind: 'summary' }>,
): Refusal => ({
  code: resultCodes.answerNotStored,
  ran: 'yes',
  detail: `status ${answer.status}, ${answer.bodyBytes} bytes, SHA-256 ${answer.bodySha256}`,
});

/** Sends answers to callers: one final answer per request, and none once the caller has left. */
export class CallerAnswers {
  constructor(private readonly context: NodeContext) {}

  sendHead(record: RequestRecord, head: AnswerHead | undefined): void {
    if (record.hasSentHead || record.hasCallerLeft) return;
    record.hasSentHead = true;
    const { requestId } = record.contract;
    this.context.emit({ kind: 'caller.sendHead', requestId, head });
  }

  sendChunk(record: RequestRecord, count: number, data: ChunkData): void {
    if (record.hasCallerLeft) return;
    const { requestId } = record.contract;
    this.context.emit({ kind: 'caller.sendChunk', requestId, count, data });
  }

  finish(record: RequestRecord, { reason, usage, total }: Omit<AnswerEnd, 'attemptId'>): void {
    const { requestId } = record.contract;
    assertAnswerIsWhole(requestId, record.answer.sentCount, total);
    this.recordFinalAnswer(record);
    if (!record.hasCallerLeft)
      this.context.emit({ kind: 'caller.finish', requestId, reason, usage });
    this.logFinished(record);
  }

  /** Sends an answer that was stored under the same idempotency key. */
  replay(record: RequestRecord, { head, bodyBase64 }: CompleteAnswer): void {
    const { requestId } = record.contract;
    const body = decodeBody(bodyBase64);
    const headers = { ...head.headers, [REPLAYED_HEADER]: 'true' };
    this.sendHead(record, { status: head.status, headers });
    if (body.length > 0) this.sendChunk(record, body.length, body);
    this.recordFinalAnswer(record);
    const { context } = this;
    context.emit({ kind: 'caller.finish', requestId, reason: 'complete', usage: undefined });
    this.logFinished(record);
  }

  refuse(record: RequestRecord, refusal: Refusal): void {
    const { requestId, team } = record.contract;
    assertRefusalIsTrue(requestId, refusal.ran, record.runTracker);
    this.recordFinalAnswer(record);
    if (!record.hasCallerLeft) this.context.emit({ kind: 'caller.refuse', requestId, refusal });
    this.context.log(logEvents.requestRefused, {
      request: requestId,
      team,
      code: refusal.code.code,
      ran: refusal.ran,
    });
  }

  // eslint-disable-next-line class-methods-use-this
  private recordFinalAnswer(record: RequestRecord): void {
    assertFinalAnswerOnce(record.contract.requestId, record.hasFinalAnswer);
    record.hasFinalAnswer = true;
  }

  private logFinished({ contract, arrivedAtMs }: RequestRecord): void {
    const { context } = this;
    const { requestId: request, team } = contract;
    context.log(logEvents.requestFinished, { request, team, totalMs: context.nowMs - arrivedAtMs });
  }
}
