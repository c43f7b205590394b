import type { Socket } from 'node:net';
import type { GatewayConfiguration } from '@savorywind/model';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import {
  createGatewayConfiguration,
  startRawServer,
  startTestGateway,
  type TestGateway,
} from '../fixtures/test-gateway.js';
import { openRawCaller, waitUntil, type RawCaller } from '../fixtures/test-request-server.js';

const RESPONSE = 'HTTP/1.1 200 OK\r\nX-Receipt: r\r\nX-Try: 1\r\nContent-Length: 4\r\n\r\n';

const BROKEN_STREAM =
  'HTTP/1.1 200 OK\r\nX-Receipt: r\r\nX-Try: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n';

const createGet = (path: string, waitsMs = 2_000): string =>
  `GET ${path} HTTP/1.1\r\nHost: shop.example\r\nX-Try: 1\r\nX-Waits: ${waitsMs}\r\n\r\n`;

/** A moment in which bytes that were sent have arrived, in milliseconds. */
const ARRIVAL_MS = 100;

/** Time after the stop signal for which a process goes on accepting requests, in milliseconds. */
const NOTICE_MS = 2_900;

/** Longer than that. */
const LONG_WAIT_MS = 6_000;

const closers: (() => void)[] = [];

afterEach(() => closers.splice(0).forEach((close) => close()));

type GatewayRoute = GatewayConfiguration['routes'][number];

interface Setup {
  readonly gateway: TestGateway;
  /** Requests that reached the engine. */
  readonly runs: string[];
  /** Answers the last request that reached the engine. */
  answerLast(body: string): void;
  /** Answers the last request with a stream that breaks off after an event. */
  breakOffLast(): void;
}

const startSetup = async (changes: Partial<GatewayRoute> = {}): Promise<Setup> => {
  const runs: string[] = [];
  let last: Socket | undefined;
  const endpoint = await startRawServer((socket) =>
    socket.on('data', (bytes: Buffer) => {
      // An engine that may be down is probed with an empty line.
      if (!bytes.toString().startsWith('GET ')) return;
      runs.push(bytes.toString());
      last = socket;
    }),
  );
  const [route] = createGatewayConfiguration().routes;
  const routes = [{ ...route!, timeoutMs: LONG_WAIT_MS, ...changes }];
  const gateway = await startTestGateway([endpoint.port], { routes });
  closers.push(endpoint.close, () => gateway.process.stopImmediately());
  return {
    gateway,
    runs,
    answerLast: (body) => last?.write(RESPONSE + body),
    breakOffLast: () => last?.end(BROKEN_STREAM),
  };
};

const openCaller = (port: number, bytes: string): RawCaller => {
  const caller = openRawCaller(port, bytes);
  closers.push(() => caller.socket.destroy());
  return caller;
};

describe('requests behind one that is at its engine', () => {
  it('get their answers when the process stops meanwhile, and the last one says close', async () => {
    const { gateway, runs, answerLast } = await startSetup();
    const caller = openCaller(gateway.port, createGet('/1') + createGet('/2'));
    await waitUntil(() => runs.length === 1);
    gateway.process.drain();
    await delay(ARRIVAL_MS);
    answerLast('one.');
    await waitUntil(() => runs.length === 2 || caller.isClosed);
    answerLast('two.');
    await waitUntil(() => caller.isClosed);
    expect(caller.received).toMatch(
      /Connection: keep-alive\r\n.*one\..*Connection: close\r\n.*two\.$/s,
    );
    expect(runs).toHaveLength(2);
  });

  it('do not run after the time that their caller waits', async () => {
    const { gateway, runs, answerLast } = await startSetup();
    const caller = openCaller(gateway.port, createGet('/1') + createGet('/2', 50));
    await waitUntil(() => runs.length === 1);
    await delay(ARRIVAL_MS);
    answerLast('one.');
    await waitUntil(() => caller.received.split('HTTP/1.1 ').length === 3);
    expect(caller.received).toMatch(/one\.HTTP\/1\.1 50[34] /);
    expect(runs).toHaveLength(1);
  });

  it('are refused as not run once the process accepts no more', async () => {
    const { gateway, runs, answerLast } = await startSetup();
    const caller = openCaller(gateway.port, createGet('/1', LONG_WAIT_MS).repeat(3));
    await waitUntil(() => runs.length === 1);
    await delay(ARRIVAL_MS);
    gateway.process.drain();
    await delay(NOTICE_MS + ARRIVAL_MS);
    answerLast('one.');
    await waitUntil(() => caller.isClosed);
    expect(caller.received).toMatch(
      /one\.HTTP\/1\.1 503 .*HTTP\/1\.1 503 .*Connection: close\r\n/s,
    );
    expect(runs).toHaveLength(1);
  });

  it('are not run if the answer before is broken off', async () => {
    const { gateway, runs, breakOffLast } = await startSetup({
      kind: 'streaming',
      maxEventGapMs: 100,
    });
    const caller = openCaller(gateway.port, createGet('/1') + createGet('/2'));
    await waitUntil(() => runs.length === 1);
    await delay(ARRIVAL_MS);
    breakOffLast();
    await waitUntil(() => caller.isClosed);
    expect(caller.received).toMatch(/^HTTP\/1\.1 200 .*data: x/s);
    expect(caller.received.endsWith('0\r\n\r\n')).toBe(false);
    expect(runs).toHaveLength(1);
  });

  it('do not end it if they are malformed', async () => {
    const { gateway, runs, answerLast } = await startSetup();
    const caller = openCaller(gateway.port, `${createGet('/1')}what is this\r\n\r\n`);
    await waitUntil(() => runs.length === 1);
    await delay(ARRIVAL_MS);
    answerLast('one.');
    await waitUntil(() => caller.isClosed);
    expect(caller.received).toMatch(/HTTP\/1\.1 200 .*one\.HTTP\/1\.1 400 /s);
  });
});
