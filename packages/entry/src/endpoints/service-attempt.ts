import { Agent, request as sendRequest, type IncomingMessage } from 'node:http';
import type { AttemptFailure } from '@savorywind/decisions';
import type { CallerRequest } from '../callers/types.js';
import { copyEndToEndHeaders } from '../callers/hop-by-hop.js';
import { sendInTime } from './send-before-deadline.js';
import type { AttemptStart, EventSink, RunningAttempt } from './types.js';

const METHODS_WITH_BODY = new Set(['POST', 'PUT', 'PATCH']);

const pooledAgent = new Agent({ keepAlive: true });

/**
 * Node sends a body without saying its length where the method usually has none; the service would
 * then read it as a further request on the same connection.
 */
const createFraming = ({ method, body }: CallerRequest): Record<string, string> =>
  body.length > 0 || METHODS_WITH_BODY.has(method) ? { 'content-length': `${body.length}` } : {};

/** Passes a call through to a plain service and reports its answer as it comes. */
export const startServiceAttempt = (
  start: AttemptStart,
  request: CallerRequest,
  report: EventSink,
): RunningAttempt => {
  const { attemptId, endpoint, connection } = start;
  let ended = false;
  let received = 0;
  const fail = (failure: AttemptFailure): void => {
    if (ended) return;
    ended = true;
    report({ kind: 'attempt.failed', attemptId, failure });
  };
  const finish = (): void => {
    if (ended) return;
    ended = true;
    const reason = 'complete';
    report({ kind: 'attempt.ended', attemptId, total: received, reason, usage: undefined });
  };
  const acceptResponse = (response: IncomingMessage): void => {
    const headers = copyEndToEndHeaders(response.headers);
    const head = { status: response.statusCode ?? 0, headers };
    report({ kind: 'attempt.headReceived', attemptId, head });
    request.flow.attach(response);
    response.on('data', (data: Buffer) => {
      const offset = received;
      received += data.length;
      report({ kind: 'attempt.chunkReceived', attemptId, offset, count: data.length, data });
    });
    response.on('error', () => fail('broken'));
    response.on('end', () => (response.complete ? finish() : fail('broken')));
  };
  const options = {
    ...endpoint.address,
    agent: connection === 'pooled' ? pooledAgent : false,
    method: request.method,
    path: request.path,
    headers: { ...request.headers, ...createFraming(request) },
  } as const;
  const call = sendRequest(options, acceptResponse);
  const watch = sendInTime(call, start.deadlineMs, request.body, () => fail('notSent'));
  call.on('error', () => fail(watch.mayHaveSent() ? 'broken' : 'notSent'));
  return {
    cancel: () => {
      ended = true;
      call.destroy();
    },
  };
};
