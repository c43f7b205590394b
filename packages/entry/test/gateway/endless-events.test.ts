import { request } from 'node:http';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { ConnectionPools } from '../../src/gateway/endpoints/connection-pools.js';
import { startEndlessEndpoint, type EndlessEndpoint } from '../fixtures/endless-endpoint.js';
import { runAttempt } from '../fixtures/test-attempt.js';
import {
  createGatewayConfiguration,
  startTestGateway,
  type TestGateway,
} from '../fixtures/test-gateway.js';

const HEAD = 'HTTP/1.1 200 OK\r\nX-Receipt: r\r\nContent-Type: text/event-stream\r\n\r\n';

const WAITS_MS = 2_500;

let endpoints: EndlessEndpoint[] = [];
let gateway: TestGateway | undefined;
const pools = new ConnectionPools();

afterEach(() => {
  gateway?.process.stopImmediately();
  gateway = undefined;
  endpoints.forEach(({ close }) => close());
  endpoints = [];
  pools.stop();
});

const startEndpoint = async (
  part: string,
  pauseMs?: number,
  head = HEAD,
): Promise<EndlessEndpoint> => {
  const endpoint = await startEndlessEndpoint({ head, part, pauseMs });
  endpoints.push(endpoint);
  return endpoint;
};

const countOpenSockets = (): number =>
  endpoints.reduce((sum, endpoint) => sum + endpoint.countOpenSockets(), 0);

/** Calls the gateway and returns whether the response looked complete, and its status. */
const callGateway = (): Promise<{ readonly status: number; readonly isComplete: boolean }> =>
  new Promise((resolve, reject) => {
    const headers = { Host: 'shop.example', 'X-Try': '1', 'X-Waits': String(WAITS_MS) };
    request({ host: '127.0.0.1', port: gateway!.port, path: '/a', headers }, (response) => {
      response.resume();
      response.on('error', () => {});
      response.on('close', () =>
        resolve({ status: response.statusCode ?? 0, isComplete: response.complete }),
      );
    })
      .on('error', reject)
      .end();
  });

describe('a stream of comments without end', () => {
  it.each([
    ['comments', ':\n\n'],
    ['empty lines', '\n'],
  ])(
    'fails before its first event at the size limit: %s',
    async (_name, part) => {
      const { port } = await startEndpoint(part);
      const { end, forwardedBytes } = await runAttempt(port, pools, 'events');
      expect(end).toMatchObject({
        failure: 'invalid',
        detail: 'more than 262144 bytes before the first event',
      });
      expect(forwardedBytes).toBe(0);
      await vi.waitFor(() => expect(countOpenSockets()).toBe(0), 1_000);
    },
    5_000,
  );

  it.each([
    ['before its first event', HEAD],
    ['after its first event', `${HEAD}id: 1\ndata: a\n\n`],
  ])('counts as stalled, and the request goes to another endpoint: %s', async (_name, head) => {
    const [first, second] = [
      await startEndpoint(':\n\n', 50, head),
      await startEndpoint(':\n\n', 50, head),
    ];
    const [route] = createGatewayConfiguration().routes;
    const streaming = { kind: 'streaming', resumable: true, maxAttempts: 2 } as const;
    const routes = [{ ...route!, ...streaming, maxEventGapMs: 100, timeoutMs: WAITS_MS }];
    gateway = await startTestGateway([first.port, second.port], { routes });
    const { isComplete, status } = await callGateway();
    expect(isComplete && status === 200).toBe(false);
    expect([first.countRequests(), second.countRequests()]).toEqual([1, 1]);
    await vi.waitFor(() => expect(countOpenSockets()).toBe(0), 1_000);
  });
});

describe('a response that goes on until the deadline', () => {
  it.each([
    ['a body without a length', 'HTTP/1.1 200 OK\r\nX-Receipt: r\r\n\r\n', 'a', undefined],
    ['one that comes slowly', 'HTTP/1.1 200 OK\r\nX-Receipt: r\r\n\r\n', 'a', 50],
    ['a head that comes slowly', 'HTTP/1.1 200 OK\r\n', 'X-A: b\r\n', 50],
    ['informational responses that come slowly', '', 'HTTP/1.1 100 Continue\r\n\r\n', 50],
  ])('never looks complete, and its connection is closed: %s', async (_n, head, part, pauseMs) => {
    const { port } = await startEndpoint(part, pauseMs, head);
    gateway = await startTestGateway([port]);
    const startedAtMs = performance.now();
    const { isComplete, status } = await callGateway();
    expect(performance.now() - startedAtMs).toBeLessThan(WAITS_MS + 1_000);
    expect(isComplete && status === 200).toBe(false);
    await vi.waitFor(() => expect(countOpenSockets()).toBe(0), 1_000);
  });
});
