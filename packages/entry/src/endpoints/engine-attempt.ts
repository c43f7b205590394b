import { Agent, request as sendRequest, type IncomingMessage } from 'node:http';
import type { AnswerUsage, AttemptFailure } from '@savorywind/decisions';
import type { CallerRequest } from '../callers/types.js';
import { SseParser } from './sse-parser.js';
import { sendInTime } from './send-before-deadline.js';
import type { AttemptStart, EventSink, RunningAttempt } from './types.js';

interface EngineEvent {
  readonly streamId: string;
  readonly offset: number;
  readonly text?: string;
  readonly end?: 'stop' | 'length';
  readonly usage?: AnswerUsage;
}

const agent = new Agent({ keepAlive: true });

const HTTP_OK = 200;

/** Statuses with which an engine says that it did not take a stream: unknown, no room, not now. */
const REJECTIONS: ReadonlySet<number | undefined> = new Set([404, 409, 429, 503]);

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

/** Runs a model request at an engine and reports its tokens in order. */
export const startEngineAttempt = (
  start: AttemptStart,
  request: CallerRequest,
  report: EventSink,
): RunningAttempt => {
  const { attemptId, streamId, endpoint, mode } = start;
  let ended = false;
  const fail = (failure: AttemptFailure): void => {
    if (ended) return;
    ended = true;
    report({ kind: 'attempt.failed', attemptId, failure });
  };
  const acceptEvent = (event: EngineEvent): void => {
    if (ended) return;
    if (event.end !== undefined) {
      ended = true;
      const { offset: total, end: reason, usage } = event;
      report({ kind: 'attempt.ended', attemptId, total, reason, usage });
    } else {
      const data = event.text ?? '';
      report({ kind: 'attempt.chunkReceived', attemptId, offset: event.offset, count: 1, data });
    }
  };
  const acceptResponse = (response: IncomingMessage): void => {
    if (response.statusCode !== HTTP_OK) {
      response.resume();
      fail(REJECTIONS.has(response.statusCode) ? 'rejected' : 'invalid');
      return;
    }
    report({ kind: 'attempt.headReceived', attemptId, head: undefined });
    const refuseResponse = (): void => {
      fail('invalid');
      response.destroy();
    };
    const parser = new SseParser((data) => {
      const event = parseEvent(data);
      if (event?.streamId === streamId && Number.isInteger(event.offset)) {
        acceptEvent(event as EngineEvent);
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
  const resumes = mode === 'resume';
  const call = sendRequest(
    {
      ...endpoint.address,
      agent,
      method: resumes ? 'GET' : 'POST',
      path: resumes
        ? `/v1/streams/${encodeURIComponent(streamId)}?offset=${start.offset}`
        : '/v1/streams',
      headers: { 'content-type': 'application/json' },
    },
    acceptResponse,
  );
  const body = resumes ? undefined : formatBody(start, request);
  const watch = sendInTime(call, start.deadlineMs, body, () => fail('notSent'));
  call.on('error', () => fail(watch.mayHaveSent() ? 'broken' : 'notSent'));
  return {
    cancel: () => {
      ended = true;
      call.destroy();
      const path = `/v1/streams/${encodeURIComponent(streamId)}`;
      const release = sendRequest({ ...endpoint.address, agent, method: 'DELETE', path });
      release.on('response', (response) => response.resume());
      release.on('error', () => {});
      release.end();
    },
  };
};
