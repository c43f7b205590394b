import { logEvents, resultCodes, type Refusal } from '@savorywind/model';
import {
  assertAnswerIsWhole,
  assertFinalAnswerOnce,
  assertRefusalIsTrue,
} from '../invariants/promises.js';
import { decodeBody } from '../ledger/answer-recorder.js';
import type { StoredAnswer } from '../ledger/types.js';
import type { NodeContext } from '../seam/node-context.js';
import type { AnswerHead, ChunkData, NodeEvent } from '../seam/types.js';
import { REPLAYED_HEADER } from './consts.js';
import type { RequestRecord } from './types.js';

export type AnswerEnd = Extract<NodeEvent, { readonly kind: 'attempt.ended' }>;

type WholeAnswer = Extract<StoredAnswer, { readonly kind: 'whole' }>;

/** Describes an answer that was too large to be kept. */
export const createNotStored = (
  answer: Extract<StoredAnswer, { readonly kind: 'summary' }>,
): Refusal => ({
  code: resultCodes.answerNotStored,
  ran: 'yes',
  detail: `status ${answer.status}, ${answer.bodyBytes} bytes, SHA-256 ${answer.bodySha256}`,
});

/** What goes out to callers. Each request gets one final answer, and none once its caller has gone. */
export class CallerAnswers {
  constructor(private readonly context: NodeContext) {}

  sendHead(record: RequestRecord, head: AnswerHead | undefined): void {
    if (record.headSent || record.callerGone) return;
    record.headSent = true;
    const { requestId } = record.contract;
    this.context.emit({ kind: 'caller.sendHead', requestId, head });
  }

  sendChunk(record: RequestRecord, count: number, data: ChunkData): void {
    if (record.callerGone) return;
    const { requestId } = record.contract;
    this.context.emit({ kind: 'caller.sendChunk', requestId, count, data });
  }

  finish(record: RequestRecord, { reason, usage, total }: Omit<AnswerEnd, 'attemptId'>): void {
    const { requestId } = record.contract;
    assertAnswerIsWhole(requestId, record.answer.sentCount, total);
    this.closeAnswer(record);
    if (!record.callerGone) this.context.emit({ kind: 'caller.finish', requestId, reason, usage });
    this.logFinished(record);
  }

  replay(record: RequestRecord, { head, bodyBase64 }: WholeAnswer): void {
    const { requestId } = record.contract;
    const body = decodeBody(bodyBase64);
    const headers = { ...head.headers, [REPLAYED_HEADER]: 'true' };
    this.sendHead(record, { status: head.status, headers });
    if (body.length > 0) this.sendChunk(record, body.length, body);
    this.closeAnswer(record);
    const { context } = this;
    context.emit({ kind: 'caller.finish', requestId, reason: 'complete', usage: undefined });
    this.logFinished(record);
  }

  refuse(record: RequestRecord, refusal: Refusal): void {
    const { requestId, team } = record.contract;
    assertRefusalIsTrue(requestId, refusal.ran, record.evidence);
    this.closeAnswer(record);
    if (!record.callerGone) this.context.emit({ kind: 'caller.refuse', requestId, refusal });
    this.context.log(logEvents.requestRefused, {
      request: requestId,
      team,
      code: refusal.code.code,
      ran: refusal.ran,
    });
  }

  // eslint-disable-next-line class-methods-use-this
  private closeAnswer(record: RequestRecord): void {
    assertFinalAnswerOnce(record.contract.requestId, record.answered);
    record.answered = true;
  }

  private logFinished({ contract, arrivedAtMs }: RequestRecord): void {
    const { context } = this;
    const { requestId: request, team } = contract;
    context.log(logEvents.requestFinished, { request, team, totalMs: context.nowMs - arrivedAtMs });
  }
}
