import { request as sendRequest } from 'node:http';
import type { EngineCall, EngineCallFailure, EngineReply } from '@savorywind/decisions';
import { Err, Ok, type Engine, type Result } from '@savorywind/model';
import { ProbingAgent } from '../http/probing-agent.js';
import { readReply, createCallTimeoutSignal } from '../replies/read-reply.js';
import { parseEngineReply } from './engine-replies.js';

const agent = new ProbingAgent({ keepAlive: true });

/** Longest time without traffic on a call, in milliseconds. */
const CALL_TIMEOUT_MS = 2_000;

const HTTP_OK = 200;

interface HttpCall {
  readonly method: string;
  readonly path: string;
  readonly body?: object;
}

type CallKind = EngineCall['kind'];

/** HTTP request for each kind of call. */
const httpCalls: {
  readonly [Kind in CallKind]: (call: Extract<EngineCall, { readonly kind: Kind }>) => HttpCall;
} = {
  'streams.list': () => ({ method: 'GET', path: '/v1/streams' }),
  'stream.cancel': ({ streamId }) => ({
    method: 'DELETE',
    path: `/v1/streams/${encodeURIComponent(streamId)}`,
  }),
  'load.read': () => ({ method: 'GET', path: '/v1/load' }),
  'placement.read': () => ({ method: 'GET', path: '/v1/orders' }),
  'order.give': ({ fencing, placement }) => ({
    method: 'POST',
    path: '/v1/orders',
    body: { fencing, placement },
  }),
};

/** Sends a call to an engine outside of a caller's request. */
export const callEngine = (
  engine: Engine,
  call: EngineCall,
): Promise<Result<EngineReply, EngineCallFailure>> =>
  new Promise((resolve) => {
    const createHttpCall = httpCalls[call.kind] as (engineCall: EngineCall) => HttpCall;
    const { method, path, body: requestBody } = createHttpCall(call);
    // The process may have been paused since the call was decided. Its lease may have expired by now and
    // be held by another entry VM, so the order must not be sent.
    if (call.kind === 'order.give' && performance.now() > call.sendBeforeMs) {
      resolve(Err('unsent'));
      return;
    }
    const timeouts = { timeout: CALL_TIMEOUT_MS, signal: createCallTimeoutSignal() };
    const options = { ...engine.address, agent, method, path, ...timeouts };
    const request = sendRequest(options, (response) => {
      readReply(response, (text) => {
        if (text === undefined || response.statusCode !== HTTP_OK) {
          resolve(Err(text === undefined ? 'unanswered' : 'refused'));
          return;
        }
        const reply = parseEngineReply[call.kind](text);
        resolve(reply === undefined ? Err('unanswered') : Ok(reply));
      });
    });
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve(Err('unanswered')));
    request.end(requestBody === undefined ? undefined : JSON.stringify(requestBody));
  });
