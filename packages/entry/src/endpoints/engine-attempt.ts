import { request as sendRequest, type IncomingMessage } from 'node:http';
import type { AnswerUsage, AttemptFailure } from '@savorywind/decisions';
import type { CallerRequest } from '../callers/types.js';
import { findResponseHeadFault } from '../http/find-response-head-fault.js';
import { ProbingAgent } from '../http/probing-agent.js';
import { SseParser } from './sse-parser.js';
import { sendBeforeDeadline } from './send-before-deadline.js';
import type { AttemptStart, ReportEvent, RunningAttempt } from './types.js';

/** One server-sent event of an engine: a generated token, or the end of the stream. */
interface EngineEvent {
  readonly streamId: string;
  /** Index of the token in the stream; in the last event, the number of tokens. */
  readonly offset: number;
  readonly text?: string;
  readonly end?: 'stop' | 'length';
  readonly usage?: AnswerUsage;
}

const agent = new ProbingAgent({ keepAlive: true });

const HTTP_OK = 200;

/**
 * Statuses with which an engine refuses a stream without running it: unknown stream (404), not enough
 * memory (409), or currently unable to run it (429, 503).
 */
const REJECTION_STATUSES: ReadonlySet<number | undefined> = new Set([404, 409, 429, 503]);

const parseEvent = (data: string): Partial<EngineEvent> | null | undefined => {
  try {
    return JSON.parse(data) as Partial<EngineEvent> | null;
  } catch {
    return undefined;
  }
};

const formatBody = (start: AttemptStart, { contract, body }: CallerRequest): string => {
  if (contract.kind !== 'model') return '';
  const { promptTokens, maxOutputTokens, digest, prefixDigests } = contract;
  const { streamId, priority, timeoutMs } = start;
  return JSON.stringify({
    streamId,
    promptTokens,
    maxOutputTokens,
    priority,
    timeoutMs,
    seedText: digest,
    prefixDigests,
    request: body.toString('utf8'),
  });
};

/** Runs a model request on an engine, or resumes its stream, and reports the tokens in order. */
export const startEngineAttempt = (
  start: AttemptStart,
  request: CallerRequest,
  report: ReportEvent,
): RunningAttempt => {
  const { attemptId, streamId, endpoint, mode } = start;
  let isEnded = false;
  const fail = (failure: AttemptFailure): void => {
    if (isEnded) return;
    isEnded = true;
    report({ kind: 'attempt.failed', attemptId, failure });
  };
  const handleEvent = (event: EngineEvent): void => {
    if (isEnded) return;
    if (event.end !== undefined) {
      isEnded = true;
      const { offset: total, end: reason, usage } = event;
      report({ kind: 'attempt.ended', attemptId, total, reason, usage });
    } else {
      const data = event.text ?? '';
      report({ kind: 'attempt.chunkReceived', attemptId, offset: event.offset, count: 1, data });
    }
  };
  const handleResponse = (response: IncomingMessage): void => {
    const refuseResponse = (): void => {
      fail('invalid');
      response.destroy();
    };
    if (findResponseHeadFault(response) !== undefined) {
      refuseResponse();
      return;
    }
    if (response.statusCode !== HTTP_OK) {
      response.resume();
      fail(REJECTION_STATUSES.has(response.statusCode) ? 'rejected' : 'invalid');
      return;
    }
    report({ kind: 'attempt.headReceived', attemptId, head: undefined });
    const parser = new SseParser((data) => {
      const event = parseEvent(data);
      if (event?.streamId === streamId && Number.isInteger(event.offset)) {
        handleEvent(event as EngineEvent);
      } else {
        refuseResponse();
      }
    });
    response.on('data', (bytes: Buffer) => {
      if (!parser.push(bytes)) refuseResponse();
    });
    response.on('error', () => fail('broken'));
    response.on('end', () => fail('broken'));
  };
  const isResume = mode === 'resume';
  const call = sendRequest(
    {
      ...endpoint.address,
      agent,
      method: isResume ? 'GET' : 'POST',
      path: isResume
        ? `/v1/streams/${encodeURIComponent(streamId)}?offset=${start.offset}`
        : '/v1/streams',
      headers: { 'content-type': 'application/json' },
    },
    handleResponse,
  );
  const body = isResume ? undefined : formatBody(start, request);
  const connectionState = sendBeforeDeadline(call, start.deadlineMs, body, () => fail('notSent'));
  call.on('error', () => fail(connectionState.mayHaveSent() ? 'broken' : 'notSent'));
  return {
    cancel: () => {
      isEnded = true;
      call.destroy();
      const path = `/v1/streams/${encodeURIComponent(streamId)}`;
      const cancelRequest = sendRequest({ ...endpoint.address, agent, method: 'DELETE', path });
      cancelRequest.on('response', (response) => response.resume());
      cancelRequest.on('error', () => {});
      cancelRequest.end();
    },
  };
};
