import { setTimeout as delay } from 'node:timers/promises';
import type { Route } from '@savorywind/model';
import { afterEach, describe, expect, it } from 'vitest';
import {
  encodeHeader,
  forwardingHeaders,
  type ForwardedHeader,
} from '../../src/gateway/peers/forwarding-headers.js';
import {
  call,
  closeAll,
  startEndpoint,
  startFleetWithoutPath,
  waitUntil,
} from '../fixtures/fleet-without-path.js';
import { createGatewayConfiguration } from '../fixtures/test-gateway.js';

afterEach(closeAll);

const LARGE_BYTES = 900_000;

const FORWARDED: ForwardedHeader = {
  attempt: 'vm-9.1',
  by: 'vm-9',
  version: 1,
  elapsedMs: 0,
  hasBegun: false,
  failedEndpoints: [],
};

const EVENT_STREAM = { 'Content-Type': 'text/event-stream' };

const createRoutes = (changes: Partial<Route>): { readonly routes: Route[] } => ({
  routes: [{ ...createGatewayConfiguration().routes[0]!, timeoutMs: 4_000, ...changes }],
});

const STREAMS = createRoutes({ kind: 'streaming', resumable: true, maxEventGapMs: 1_000 });
const RUN_ONCE = createRoutes({ kind: 'nonIdempotent' });

describe('a request that is forwarded to a peer', () => {
  it('passes whole in both directions, without headers of its own', async () => {
    const endpoint = await startEndpoint((outgoing, body) => outgoing.end(body));
    const [cut] = await startFleetWithoutPath(endpoint);
    const body = 'x'.repeat(LARGE_BYTES);
    const answer = await call(cut.port, body).answer;
    expect(answer.body).toBe(body);
    const names = [...Object.keys(answer.headers), ...Object.keys(endpoint.runs[0]!.headers)];
    expect(names.filter((name) => name.startsWith('savorywind'))).toEqual([]);
    expect(answer.headers['x-receipt']).toBe('r');
  });

  it('of a caller that names another sender does not pass that on', async () => {
    const endpoint = await startEndpoint();
    const [cut] = await startFleetWithoutPath(endpoint);
    const headers = { [forwardingHeaders.forwarded]: encodeHeader(FORWARDED) };
    const answer = await call(cut.port, 'first', { headers }).answer;
    expect(answer).toMatchObject({ status: 200, body: 'done first' });
  });

  it('has its events passed on as they come', async () => {
    const endpoint = await startEndpoint((outgoing) => {
      outgoing.write('id: 1\ndata: a\n\n');
      setTimeout(() => outgoing.end('id: 2\ndata: b\n\n'), 400);
    }, EVENT_STREAM);
    const [cut] = await startFleetWithoutPath(endpoint, { changes: STREAMS });
    const stream = call(cut.port, 'first');
    await waitUntil(() => stream.received.includes('id: 1'));
    expect(stream.received).not.toContain('id: 2');
    const answer = await stream.answer;
    expect(answer).toMatchObject({ isComplete: true });
    expect(answer.body).toBe('id: 1\ndata: a\n\nid: 2\ndata: b\n\n');
  });

  it('is cancelled at the endpoint when its caller leaves', async () => {
    const endpoint = await startEndpoint(() => {});
    const [cut] = await startFleetWithoutPath(endpoint);
    const abandoned = call(cut.port, 'first');
    await waitUntil(() => endpoint.runs.length === 1);
    const leftAtMs = performance.now();
    abandoned.abandon();
    await waitUntil(() => endpoint.cancelled.length === 1);
    expect(performance.now() - leftAtMs).toBeLessThan(250);
  });

  it('that must not run twice is not refused as not run when the peer dies', async () => {
    const endpoint = await startEndpoint(() => {});
    const [cut, peer] = await startFleetWithoutPath(endpoint, { changes: RUN_ONCE });
    const booking = call(cut.port, 'first');
    await waitUntil(() => endpoint.runs.length === 1);
    peer.process.stopImmediately();
    const answer = await booking.answer;
    expect(answer.status).toBe(502);
    expect(answer.headers['retry-after']).toBeUndefined();
    await delay(100);
    expect(endpoint.runs).toHaveLength(1);
  });

  it.each(['the entry VM of its caller', 'the peer'])(
    'is served to its end when %s stops',
    async (who) => {
      const endpoint = await startEndpoint((outgoing, body) => {
        setTimeout(() => outgoing.end(`done ${body}`), 900);
      });
      const [cut, peer] = await startFleetWithoutPath(endpoint, { changes: RUN_ONCE });
      const booking = call(cut.port, 'first');
      await waitUntil(() => endpoint.runs.length === 1);
      const stopping = who === 'the peer' ? peer : cut;
      stopping.process.drain();
      expect(await booking.answer).toMatchObject({ status: 200, body: 'done first' });
      await stopping.stopped;
      expect(endpoint.runs).toHaveLength(1);
    },
  );

  it('ends visibly incomplete if the endpoint breaks off', async () => {
    const endpoint = await startEndpoint((outgoing) => {
      outgoing.write('id: 1\ndata: a\n\n');
      setTimeout(() => outgoing.destroy(), 100);
    }, EVENT_STREAM);
    const routes = createRoutes({ kind: 'streaming', resumable: false, maxEventGapMs: 1_000 });
    const [cut] = await startFleetWithoutPath(endpoint, { changes: routes });
    const answer = await call(cut.port, 'first').answer;
    expect(answer).toMatchObject({ status: 200, isComplete: false });
  });
});

describe('the address for peers', () => {
  const headers = { [forwardingHeaders.forwarded]: encodeHeader(FORWARDED) };

  it('serves a registered entry VM, and names its attempt', async () => {
    const endpoint = await startEndpoint();
    const [, peer] = await startFleetWithoutPath(endpoint);
    const answer = await call(peer.peerPort, 'first', { headers }).answer;
    expect(answer.status).toBe(200);
    expect(answer.headers[forwardingHeaders.served]).toBeDefined();
  });

  it.each([
    ['anybody else', { headers, localAddress: '127.0.0.2' }],
    ['a request without its header', {}],
    ['a malformed header', { headers: { [forwardingHeaders.forwarded]: 'eA==' } }],
  ])('refuses %s', async (_name, options) => {
    const endpoint = await startEndpoint();
    const [, peer] = await startFleetWithoutPath(endpoint);
    const answer = await call(peer.peerPort, 'first', options).answer;
    expect(answer.status).toBe(403);
    expect(endpoint.runs).toHaveLength(0);
  });
});
