import { request as sendRequest, type IncomingMessage } from 'node:http';
import type { AttemptFailure } from '@savorywind/decisions';
import type { CallerRequest } from '../callers/types.js';
import { copyEndToEndHeaders } from '../callers/hop-by-hop.js';
import { findResponseHeadFault } from '../http/find-response-head-fault.js';
import { ProbingAgent } from '../http/probing-agent.js';
import { sendBeforeDeadline } from './send-before-deadline.js';
import type { AttemptStart, ReportEvent, RunningAttempt } from './types.js';

const METHODS_WITH_BODY = new Set(['POST', 'PUT', 'PATCH']);

/** Keep-alive connections to all services. */
const pooledAgent = new ProbingAgent({ keepAlive: true });

/** Opens a connection for each request and closes it after the response. */
const freshAgent = new ProbingAgent({ keepAlive: false });

/**
 * Sets the length of the body explicitly. For methods that usually have no body, Node sends a body
 * without its length, and the service would parse it as another request on the same connection.
 */
const createFraming = ({ method, body }: CallerRequest): Record<string, string> =>
  body.length > 0 || METHODS_WITH_BODY.has(method) ? { 'content-length': `${body.length}` } : {};

/** Forwards a call to a plain service and reports the response as it arrives. */
export const startServiceAttempt = (
  start: AttemptStart,
  request: CallerRequest,
  report: ReportEvent,
): RunningAttempt => {
  const { attemptId, endpoint, connection } = start;
  let isEnded = false;
  let received = 0;
  const fail = (failure: AttemptFailure): void => {
    if (isEnded) return;
    isEnded = true;
    report({ kind: 'attempt.failed', attemptId, failure });
  };
  const finish = (): void => {
    if (isEnded) return;
    isEnded = true;
    const reason = 'complete';
    report({ kind: 'attempt.ended', attemptId, total: received, reason, usage: undefined });
  };
  const handleResponse = (response: IncomingMessage): void => {
    if (findResponseHeadFault(response) !== undefined) {
      fail('invalid');
      response.destroy();
      return;
    }
    const headers = copyEndToEndHeaders(response.headers);
    const head = { status: response.statusCode ?? 0, headers };
    report({ kind: 'attempt.headReceived', attemptId, head });
    request.flowControl.attach(response);
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
    agent: connection === 'pooled' ? pooledAgent : freshAgent,
    method: request.method,
    path: request.path,
    headers: { ...request.headers, ...createFraming(request) },
  } as const;
  const call = sendRequest(options, handleResponse);
  const connectionState = sendBeforeDeadline(call, start.deadlineMs, request.body, () =>
    fail('notSent'),
  );
  call.on('error', () => fail(connectionState.mayHaveSent() ? 'broken' : 'notSent'));
  return {
    cancel: () => {
      isEnded = true;
      call.destroy();
    },
  };
};
