import { Agent, request as sendRequest } from 'node:http';
import type { EngineCall, EngineCallFailure, EngineReply } from '@savorywind/decisions';
import { Err, Ok, type Engine, type Result } from '@savorywind/model';
import { readReply, createCallLimit } from '../replies/read-reply.js';
import { parseEngineReply } from './engine-replies.js';

const agent = new Agent({ keepAlive: true });

const CALL_TIMEOUT_MS = 2_000;

const HTTP_OK = 200;

interface HttpCall {
  readonly method: string;
  readonly path: string;
  readonly body?: object;
}

type CallKind = EngineCall['kind'];

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

/** Asks an engine something outside of a request. */
export const callEngine = (
  engine: Engine,
  call: EngineCall,
): Promise<Result<EngineReply, EngineCallFailure>> =>
  new Promise((resolve) => {
    const describe = httpCalls[call.kind] as (given: EngineCall) => HttpCall;
    const { method, path, body: sent } = describe(call);
    // After a pause of this process another may hold the lease by now.
    if (call.kind === 'order.give' && performance.now() > call.sendBeforeMs) {
      resolve(Err('unsent'));
      return;
    }
    const limits = { timeout: CALL_TIMEOUT_MS, signal: createCallLimit() };
    const options = { ...engine.address, agent, method, path, ...limits };
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
    request.end(sent === undefined ? undefined : JSON.stringify(sent));
  });
