import { Agent, request as sendRequest, type IncomingMessage } from 'node:http';
import type { AnswerUsage, AttemptFailure } from '@savorywind/decisions';
import type { CallerRequest } from '../callers/types.js';
import { watchConnection } from './connection-watch.js';
import { SseParser } from './sse-parser.js';
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
    if (event.streamId !== streamId) {
      fail('invalid');
    } else if (event.end !== undefined) {
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
      fail('rejected');
      return;
    }
    report({ kind: 'attempt.headReceived', attemptId, head: undefined });
    const parser = new SseParser((data) => acceptEvent(JSON.parse(data) as EngineEvent));
    response.on('data', (bytes: Buffer) => parser.push(bytes));
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
  const watch = watchConnection(call);
  call.on('error', () => fail(watch.mayHaveSent() ? 'broken' : 'notSent'));
  call.end(resumes ? undefined : formatBody(start, request));
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
