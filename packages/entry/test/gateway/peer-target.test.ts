import type { IncomingMessage } from 'node:http';
import type { GatewayEvent } from '@savorywind/decisions';
import { afterEach, describe, expect, it } from 'vitest';
import type { CallerExchange } from '../../src/gateway/callers/caller-exchange.js';
import type { ResponseReading } from '../../src/gateway/endpoints/attempt-target.js';
import { ConnectionPools } from '../../src/gateway/endpoints/connection-pools.js';
import { encodeHeader, forwardingHeaders } from '../../src/gateway/peers/forwarding-headers.js';
import { OutgoingAttempt } from '../../src/gateway/endpoints/outgoing-attempt.js';
import { createPeerTarget } from '../../src/gateway/peers/peer-target.js';
import type { AttemptForward } from '../../src/gateway/types.js';
import {
  createAdapter,
  createGatewayConfiguration,
  startRawServer,
} from '../fixtures/test-gateway.js';

const pools = new ConnectionPools();

afterEach(() => pools.stop());

const FORWARD: AttemptForward = {
  kind: 'attempt.forward',
  attemptId: 'vm-1.2',
  requestId: '2',
  peer: { id: 'vm-2', failureDomain: 'a', address: { host: '127.0.0.1', port: 1 } },
  forwardedFrom: { by: 'vm-1', version: 1, elapsedMs: 0, hasBegun: false, failedEndpoints: [] },
  connectTimeoutMs: 100,
  lastEventId: undefined,
  connection: 'kept',
  delivery: 'whole',
};

const exchange = {
  metadata: { callerAttempt: 'try-2' },
  listForwardedHeaders: () => [],
} as unknown as CallerExchange;

const readResponse = (
  statusCode: number,
  headers: Readonly<Record<string, string>>,
  isReused = true,
): ResponseReading => {
  const { wire } = createAdapter(createGatewayConfiguration(), []);
  const target = createPeerTarget({ forward: FORWARD, exchange, pools, wire });
  return target.readResponse({ statusCode, headers } as unknown as IncomingMessage, isReused);
};

const createServed = (attempt: string): Record<string, string> => ({
  [forwardingHeaders.served]: encodeHeader({ attempt, id: 'engine-1', startedAtMs: 1 }),
});

const createRefused = (attempt: string, hasRun = false): Record<string, string> => ({
  [forwardingHeaders.refused]: encodeHeader({
    attempt,
    reason: hasRun ? 'broken' : 'noRoom',
    hasRun,
    hasArrived: hasRun,
  }),
});

describe('a response of a peer', () => {
  it('that names the attempt is the answer, of the endpoint that it names', () => {
    const headers = { ...createServed('vm-1.2'), 'x-receipt': 'r', 'x-try': 'try-2' };
    expect(readResponse(200, headers)).toMatchObject({
      kind: 'answer',
      metadata: { status: 200, hasReceipt: true, servedBy: 'engine-1' },
    });
  });

  it.each([
    ['an answer', createServed('vm-1.1')],
    ['a refusal', createRefused('vm-1.1')],
  ])('that is a late copy of %s to an earlier attempt is not taken for it', (_name, headers) => {
    expect(readResponse(503, headers).kind).toBe('mismatch');
  });

  it('with the answer to another request of a caller is not taken for it', () => {
    const headers = { ...createServed('vm-1.2'), 'x-try': 'try-1' };
    expect(readResponse(200, headers).kind).toBe('mismatch');
  });

  it.each([true, false])('says whether the request has run, %s', (hasRun) => {
    expect(readResponse(503, createRefused('vm-1.2', hasRun))).toMatchObject({
      kind: 'rejection',
      failure: hasRun ? 'broken' : 'rejected',
      refusal: { hasRun },
    });
  });

  it('of an earlier build, which reads no requests, means that it has not run', () => {
    expect(readResponse(426, {}, false)).toMatchObject({
      kind: 'rejection',
      refusal: { hasRun: false, reason: 'notReady' },
    });
  });

  it('without a name on a connection of an earlier request proves nothing', () => {
    expect(readResponse(503, {}).kind).toBe('mismatch');
  });

  it.each(['eA==', '', 'not base64'])('that can not be decoded proves nothing, %j', (header) => {
    expect(readResponse(200, { [forwardingHeaders.served]: header }).kind).toBe('mismatch');
    expect(readResponse(503, { [forwardingHeaders.refused]: header }).kind).toBe('mismatch');
  });

  it.each([
    ['status 099', '099 X', ''],
    ['a name with a space', '200 OK', 'no header: 1\r\n'],
    ['an empty name', '200 OK', ': 1\r\n'],
  ])('whose head no caller can get is no answer: %s', async (_name, status, fields) => {
    const [[name, value]] = Object.entries(createServed('vm-1.2')) as [[string, string]];
    const server = await startRawServer((socket) =>
      socket.on('data', () =>
        socket.write(
          `HTTP/1.1 ${status}\r\n${name}: ${value}\r\nX-Receipt: r\r\nX-Try: try-2\r\n${fields}` +
            'Content-Length: 4\r\n\r\ndone',
        ),
      ),
    );
    const peer = { ...FORWARD.peer, address: { host: '127.0.0.1', port: server.port } };
    const forward = { ...FORWARD, peer, connectTimeoutMs: 1_000 };
    const { wire } = createAdapter(createGatewayConfiguration(), []);
    const event = await new Promise<GatewayEvent>((resolve) => {
      const caller = { ...exchange, method: 'GET', url: '/a', body: Buffer.alloc(0) };
      const options = { forward, exchange: caller as unknown as CallerExchange, pools, wire };
      const target = createPeerTarget(options);
      const attempt = { start: forward, target, exchange: options.exchange, dispatch: resolve };
      Reflect.construct(OutgoingAttempt, [attempt]);
    });
    expect(event).toMatchObject({ kind: 'attempt.failed', failure: 'invalid' });
    server.close();
  });
});
