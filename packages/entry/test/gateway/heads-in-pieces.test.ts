import { connect, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { reservePort } from '@savorywind/stand-ins';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { CallerExchange } from '../../src/gateway/callers/caller-exchange.js';
import { RequestServer } from '../../src/gateway/callers/request-server.js';
import { createAdapter, createGatewayConfiguration } from '../fixtures/test-gateway.js';

const HOST = '127.0.0.1';
const PIECE_BYTES = 700;
const HEADER_TIMEOUT_MS = 300;

const FIELDS = Array.from({ length: 300 }, (_, index) => `Name-${index}: value of ${index}\r\n`);
const HEAD = `GET /a?b=c HTTP/1.1\r\nHost: shop.example\r\n${FIELDS.join('')}`;

/** Unfinished heads whose memory is measured, and the bytes of each. */
const COUNT = 50;
const LARGE_BYTES = 45_000;

/** Memory that each may take with both ends of its connection, in bytes. */
const MAX_COST_BYTES = 3 * LARGE_BYTES;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

const measureMemory = (): number => {
  collectGarbage();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
};

let server: RequestServer;
let port: number;
let exchanges: CallerExchange[];
let sockets: Socket[];

beforeEach(async () => {
  port = await reservePort();
  exchanges = [];
  sockets = [];
  server = new RequestServer({
    address: { host: HOST, port },
    wire: createAdapter(createGatewayConfiguration(), []).wire,
    onRequestReceived: (exchange) => exchanges.push(exchange),
    onDisconnected: () => {},
    onUnreadRefused: () => {},
    onAcceptFailed: () => {},
  });
  await server.start();
});

afterEach(() => {
  sockets.forEach((socket) => socket.destroy());
  server.stop();
  server.closeAllConnections();
});

const open = (): { readonly socket: Socket; received: string; isClosed: boolean } => {
  const socket = connect(port, HOST).setNoDelay(true);
  const caller = { socket, received: '', isClosed: false };
  socket.on('error', () => {});
  socket.on('data', (chunk: Buffer) => {
    caller.received += chunk.toString();
  });
  socket.on('close', () => {
    caller.isClosed = true;
  });
  sockets.push(socket);
  return caller;
};

const waitUntil = async (isTrue: () => boolean): Promise<void> => {
  while (!isTrue()) await delay(5);
};

const waitForExchanges = (count: number): Promise<void> =>
  waitUntil(() => exchanges.length === count);

const listNames = (exchange: CallerExchange): string[] =>
  exchange.listForwardedHeaders(() => true, false).filter((_, index) => index % 2 === 0);

// Most of a head waits outside of the parser, in which thousands of unfinished ones end the process.
describe('a head that comes in pieces', () => {
  it('is received whole, on the same connection more than once', async () => {
    const caller = open();
    const request = `${HEAD}\r\n`;
    for (let count = 1; count <= 2; count += 1) {
      for (let start = 0; start < request.length; start += PIECE_BYTES) {
        caller.socket.write(request.slice(start, start + PIECE_BYTES));
        await delay(2);
      }
      await waitForExchanges(count);
      const exchange = exchanges.at(-1)!;
      expect(exchange.url).toBe('/a?b=c');
      expect(listNames(exchange).filter((name) => name.startsWith('Name-'))).toHaveLength(300);
      exchange.refuse({ reason: 'noRoute', retryAfterMs: undefined });
    }
  });

  it('takes little more than its bytes before it is complete', async () => {
    const before = measureMemory();
    const fields = 'ab:cd\r\n'.repeat(LARGE_BYTES / 7);
    for (let count = 0; count < COUNT; count += 1) {
      open().socket.write(`GET / HTTP/1.1\r\nHost: a\r\n${fields}`);
      await delay(5);
    }
    await delay(200);
    expect((measureMemory() - before) / COUNT).toBeLessThan(MAX_COST_BYTES);
  });

  it('is refused as malformed if its caller closes before its end', async () => {
    const caller = open();
    caller.socket.write(HEAD);
    await delay(50);
    caller.socket.end();
    await waitUntil(() => caller.isClosed);
    expect(caller.received).toMatch(/^HTTP\/1\.1 400 /);
  });

  it('is refused as malformed if only its end is', async () => {
    const caller = open();
    caller.socket.write(HEAD);
    await delay(50);
    caller.socket.write('no field\r\n\r\n');
    await waitUntil(() => caller.isClosed);
    expect(caller.received).toMatch(/^HTTP\/1\.1 400 /);
    expect(caller.received.match(/HTTP\/1\.1/g)).toHaveLength(1);
  });

  it('is refused as too large if it does not end, one small field after the other', async () => {
    const caller = open();
    caller.socket.write(`GET / HTTP/1.1\r\n${'a:b\r\n'.repeat(20_000)}`);
    await waitUntil(() => caller.isClosed);
    expect(caller.received).toMatch(/^HTTP\/1\.1 431 /);
  });

  it('is refused as too slow, also behind another request', async () => {
    server.changeLimits({
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000,
      headerTimeoutMs: HEADER_TIMEOUT_MS,
      idleTimeoutMs: 60_000,
    });
    const caller = open();
    caller.socket.write(`${HEAD}\r\n`);
    await waitUntil(() => exchanges.length === 1);
    exchanges[0]!.refuse({ reason: 'noRoute', retryAfterMs: undefined });
    await waitUntil(() => caller.received.includes(' 404 '));
    caller.socket.write(HEAD);
    await waitUntil(() => caller.isClosed);
    expect(caller.received).toMatch(/HTTP\/1\.1 408 /);
    expect(exchanges).toHaveLength(1);
  });
});
