import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import {
  createGatewayConfiguration,
  startRawServer,
  startTestGateway,
} from '../fixtures/test-gateway.js';

const EVENTS = 400;
const EVENT_BYTES = 50_000;

/** Longer than the time without data after which an endpoint counts as stalled. */
const PAUSE_MS = 1_400;

const createEvent = (id: number): string => `id: ${id}\ndata: ${'x'.repeat(EVENT_BYTES)}\n\n`;

const listEventIds = (response: string): number[] =>
  [...response.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));

const closers: (() => void)[] = [];

afterEach(() => closers.splice(0).forEach((close) => close()));

/** Starts an endpoint that sends events as fast as they are read, and counts the runs. */
const startStream = async (): Promise<{ readonly port: number; countRuns(): number }> => {
  let runs = 0;
  const { port, close } = await startRawServer((socket) =>
    socket.on('data', (bytes: Buffer) => {
      if (!bytes.toString().startsWith('GET ')) return;
      runs += 1;
      const head = 'Content-Type: text/event-stream\r\nX-Receipt: r\r\nConnection: close';
      socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n\r\n`);
      for (let id = 1; id <= EVENTS; id += 1) socket.write(createEvent(id));
      socket.end();
    }),
  );
  closers.push(close);
  return { port, countRuns: () => runs };
};

/** Pauses reading after the first chunk, then reads the rest. */
const readSlowly = (port: number): Promise<string> =>
  new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    const chunks: Buffer[] = [];
    socket.on('data', (chunk: Buffer) => {
      if (chunks.length === 0) {
        socket.pause();
        delay(PAUSE_MS).then(() => socket.resume());
      }
      chunks.push(chunk);
    });
    socket.on('close', () => resolve(Buffer.concat(chunks).toString()));
    const head = 'Host: shop.example\r\nX-Try: 1\r\nX-Waits: 20000\r\nConnection: close';
    socket.write(`GET /a HTTP/1.1\r\n${head}\r\n\r\n`);
  });

describe('a caller that reads slowly', () => {
  it('receives its complete stream from one endpoint, which does not count as stalled', async () => {
    const endpoints = [await startStream(), await startStream()];
    const [route] = createGatewayConfiguration().routes;
    const streaming = { kind: 'streaming', resumable: true, maxAttempts: 2 } as const;
    const routes = [{ ...route!, ...streaming, maxEventGapMs: 100, timeoutMs: 20_000 }];
    const gateway = await startTestGateway(
      endpoints.map(({ port }) => port),
      { routes },
    );
    closers.push(() => gateway.process.stopImmediately());
    const response = await readSlowly(gateway.port);
    expect(listEventIds(response)).toEqual(Array.from({ length: EVENTS }, (_, index) => index + 1));
    expect(endpoints.map(({ countRuns }) => countRuns()).sort()).toEqual([0, 1]);
  });
});
