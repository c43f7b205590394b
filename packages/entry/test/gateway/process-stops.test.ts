import { connect, type Socket } from 'node:net';
import { createEngineTraits } from '@savorywind/stand-ins';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import {
  createGatewayConfiguration,
  startRawServer,
  startTestGateway,
  type TestGateway,
} from '../fixtures/test-gateway.js';

/** Time from the stop signal to the kill. */
const STOP_GRACE_MS = 1_500;

const HEAD = 'POST /a HTTP/1.1\r\nHost: shop.example\r\nX-Try: 1\r\nX-Waits: 20000\r\n';
const STREAM_HEAD = 'HTTP/1.1 200 OK\r\nX-Receipt: r\r\nContent-Type: text/event-stream\r\n\r\n';

const closers: (() => void)[] = [];

afterEach(() => closers.splice(0).forEach((close) => close()));

interface Caller {
  readonly socket: Socket;
  readonly isClosed: boolean;
  readonly received: string;
  /** Resolves with all bytes that were received, once the connection has closed. */
  readonly closed: Promise<string>;
}

const sendRequest = (port: number, bytes: string): Caller => {
  const socket = connect(port, '127.0.0.1', () => socket.write(bytes));
  let received = '';
  let isClosed = false;
  socket.on('data', (chunk: Buffer) => {
    received += chunk.toString();
  });
  socket.on('error', () => {});
  const closed = new Promise<string>((resolve) => {
    socket.on('close', () => {
      isClosed = true;
      resolve(received);
    });
  });
  closers.push(() => socket.destroy());
  return {
    socket,
    closed,
    get isClosed() {
      return isClosed;
    },
    get received() {
      return received;
    },
  };
};

const waitUntil = async (isTrue: () => boolean): Promise<void> => {
  while (!isTrue()) await delay(5);
};

interface Setup {
  readonly gateway: TestGateway;
  /** Requests that reached the endpoint. */
  readonly runs: string[];
}

/** Starts a gateway with one engine that answers with `response` and never ends it. */
const startSetup = async (response: string): Promise<Setup> => {
  const runs: string[] = [];
  const endpoint = await startRawServer((socket) =>
    socket.on('data', (bytes: Buffer) => {
      runs.push(bytes.toString());
      if (response.length > 0) socket.write(response);
    }),
  );
  closers.push(endpoint.close);
  const [route] = createGatewayConfiguration().routes;
  const streaming = { kind: 'streaming', maxEventGapMs: 100, timeoutMs: 20_000 } as const;
  const routes = [{ ...route!, ...streaming, targetLatencyMs: 4_000 }];
  const engine = createEngineTraits();
  const services = [{ name: 'orders', healthPath: '/health', maxConnections: 50, engine }];
  const contract = { stopGraceMs: STOP_GRACE_MS };
  const gateway = await startTestGateway(
    [endpoint.port],
    { routes, services },
    undefined,
    contract,
  );
  closers.push(() => gateway.process.stopImmediately());
  return { gateway, runs };
};

const LONG_PROMPT = `${HEAD}X-Tokens: 100000\r\nContent-Length: 2\r\n\r\nhi`;
const SHORT_PROMPT = `${HEAD}X-Tokens: 100\r\nContent-Length: 2\r\n\r\nhi`;

describe('a process that gets the stop signal', () => {
  it('refuses a request that waits for an engine, before its connection closes', async () => {
    const { gateway, runs } = await startSetup('');
    const first = sendRequest(gateway.port, LONG_PROMPT);
    await waitUntil(() => runs.length === 1);
    const waiting = sendRequest(gateway.port, LONG_PROMPT);
    await delay(50);
    gateway.process.drain();
    const response = await waiting.closed;
    expect(response).toMatch(/^HTTP\/1\.1 503 .*\r\nRetry-After: 0\.\d+\r\n/s);
    expect(response).toContain('{"reason":"stopping"}');
    expect(first.isClosed).toBe(false);
    expect(runs).toHaveLength(1);
  });

  it('promises nothing of a request that is at its engine when the grace ends', async () => {
    const { gateway, runs } = await startSetup('');
    const caller = sendRequest(gateway.port, SHORT_PROMPT);
    await waitUntil(() => runs.length === 1);
    gateway.process.drain();
    const response = await caller.closed;
    expect(response).toMatch(/^HTTP\/1\.1 502 /);
    expect(response).not.toMatch(/Retry-After/i);
  });

  it('relays a stream to the end of its grace, and then ends it visibly incomplete', async () => {
    const { gateway } = await startSetup(`${STREAM_HEAD}id: 1\ndata: x\n\n`);
    const caller = sendRequest(gateway.port, SHORT_PROMPT);
    await waitUntil(() => caller.received.includes('id: 1'));
    gateway.process.drain();
    await delay(STOP_GRACE_MS / 2);
    expect(caller.isClosed).toBe(false);
    const response = await caller.closed;
    expect(response).toContain('id: 1');
    expect(response.endsWith('\r\n0\r\n\r\n')).toBe(false);
  });

  it('refuses a request whose body is still arriving as not run', async () => {
    const { gateway, runs } = await startSetup('');
    const caller = sendRequest(gateway.port, `${HEAD}Content-Length: 4\r\n\r\nab`);
    await delay(50);
    gateway.process.drain();
    const response = await caller.closed;
    expect(response).toMatch(/^HTTP\/1\.1 503 .*\r\nRetry-After: 0\.5\r\n/s);
    expect(runs).toHaveLength(0);
  });

  it('ends within its grace after one signal and after two', async () => {
    const { gateway, runs } = await startSetup('');
    sendRequest(gateway.port, SHORT_PROMPT);
    await waitUntil(() => runs.length === 1);
    const startedAtMs = performance.now();
    gateway.process.drain();
    await delay(300);
    gateway.process.drain();
    await gateway.stopped;
    const elapsedMs = performance.now() - startedAtMs;
    expect(elapsedMs).toBeGreaterThan(STOP_GRACE_MS / 2);
    expect(elapsedMs).toBeLessThan(STOP_GRACE_MS);
  });

  it('ends within the grace of reloaded settings', async () => {
    const { gateway, runs } = await startSetup('');
    const { settings } = gateway;
    sendRequest(gateway.port, SHORT_PROMPT);
    await waitUntil(() => runs.length === 1);
    const stopGraceMs = STOP_GRACE_MS / 2;
    gateway.process.changeSettings({
      ...settings,
      contract: { ...settings.contract, stopGraceMs },
    });
    const startedAtMs = performance.now();
    gateway.process.drain();
    await gateway.stopped;
    expect(performance.now() - startedAtMs).toBeLessThan(stopGraceMs);
  });

  it('ends within its grace although a caller does not read what was written to it', async () => {
    const { gateway, runs } = await startSetup(`${STREAM_HEAD}${'data: x\n\n'.repeat(2_000_000)}`);
    const caller = sendRequest(gateway.port, SHORT_PROMPT);
    caller.socket.pause();
    await waitUntil(() => runs.length === 1);
    await delay(200);
    const startedAtMs = performance.now();
    gateway.process.drain();
    await gateway.stopped;
    expect(performance.now() - startedAtMs).toBeLessThan(STOP_GRACE_MS);
  });
});
