import { connect, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { reservePort } from '@savorywind/stand-ins';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { CallerExchange } from '../../src/gateway/callers/caller-exchange.js';
import { RequestServer } from '../../src/gateway/callers/request-server.js';
import { CallerConnections } from '../../src/gateway/memory/caller-connections.js';
import { MemoryBudget } from '../../src/gateway/memory/memory-budget.js';
import type { ShortageReason } from '../../src/gateway/memory/types.js';
import { createAdapter, createGatewayConfiguration } from '../fixtures/test-gateway.js';

const HOST = '127.0.0.1';
const MAX_CONNECTIONS = 8;

/** Memory for unfinished heads, in bytes: for some 1,600 bytes of small ones, or one of 4,800. */
const HEAD_BYTES = 20_000;

const REQUEST = 'POST /a HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 2\r\n\r\nab';
const CHUNKED_REQUEST =
  'POST /a HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n\r\n' +
  `${'1\r\nx\r\n'.repeat(100)}0\r\n\r\n`;
const buildUnfinishedHead = (bytes: number): string =>
  `POST /a HTTP/1.1\r\nA: ${'b'.repeat(bytes)}`;
const buildUnfinishedTrailers = (bytes: number): string =>
  'POST /a HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n\r\n' +
  `1\r\nx\r\n0\r\nA: ${'b'.repeat(bytes)}`;
const SMALL_HEAD = buildUnfinishedHead(200);
const LARGE_HEAD = buildUnfinishedHead(6_000);
const REFUSED = 'HTTP/1.1 503 ';

let budget: MemoryBudget;
let connections: CallerConnections;
let server: RequestServer;
let port: number;
let exchanges: CallerExchange[];
let refusals: ShortageReason[];
let sockets: Socket[];

beforeEach(async () => {
  port = await reservePort();
  budget = new MemoryBudget(4_000_000);
  exchanges = [];
  refusals = [];
  sockets = [];
  connections = new CallerConnections({
    budget,
    headBytes: HEAD_BYTES,
    maxConnections: { callers: MAX_CONNECTIONS, peers: 1 },
    onRefused: (reason) => refusals.push(reason),
  });
  server = new RequestServer({
    address: { host: HOST, port },
    wire: createAdapter(createGatewayConfiguration(), []).wire,
    bodyBudget: budget,
    connections,
    onShortage: (reason) => refusals.push(reason),
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

interface TestCaller {
  readonly socket: Socket;
  received: string;
  isClosed: boolean;
}

const openCaller = (bytes: string): TestCaller => {
  const socket = connect(port, HOST, () => socket.write(bytes));
  const caller: TestCaller = { socket, received: '', isClosed: false };
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

describe('a server whose callers send heads without finishing them', () => {
  it('refuses the largest head where all take too much, and leaves the others alone', async () => {
    const small = [1, 2, 3].map(() => openCaller(SMALL_HEAD));
    await waitUntil(() => connections.unfinishedHeadBytes > 0);
    const large = openCaller(LARGE_HEAD);
    await waitUntil(() => large.isClosed);
    expect(large.received).toContain(REFUSED);
    expect(large.received).toContain('Retry-After: ');
    expect(refusals).toEqual(['heads']);
    small.forEach(({ socket }) => socket.write('\r\nHost: a\r\nContent-Length: 0\r\n\r\n'));
    await waitUntil(() => exchanges.length === small.length);
    expect(connections.unfinishedHeadBytes).toBe(0);
  });

  it('refuses the largest trailers where all take too much, and leaves the others alone', async () => {
    const trailers = [300, 200, 100].map((bytes) => openCaller(buildUnfinishedTrailers(bytes)));
    await waitUntil(() => connections.unfinishedHeadBytes > 600);
    const large = openCaller(LARGE_HEAD);
    await waitUntil(() => large.isClosed);
    openCaller(buildUnfinishedTrailers(1_300));
    await waitUntil(() => refusals.length > 1);
    await delay(50);
    expect(refusals).toEqual(['heads', 'heads']);
    expect(trailers.map(({ isClosed }) => isClosed)).toEqual([false, false, false]);
  });

  it('answers the request in front of a head that is refused, and closes then', async () => {
    const caller = openCaller(REQUEST + LARGE_HEAD);
    await waitUntil(() => refusals.length === 1);
    await delay(50);
    expect(caller.isClosed).toBe(false);
    expect(caller.received).toBe('');
    exchanges[0]!.refuse({ reason: 'noRoute', retryAfterMs: undefined });
    await waitUntil(() => caller.isClosed);
    expect(caller.received).toMatch(/^HTTP\/1\.1 404 /);
    expect(caller.received.match(/HTTP\/1\.1/g)).toHaveLength(1);
    expect(budget.usedBytes).toBe(0);
  });

  it.each([
    ['a length', REQUEST],
    ['small chunks', CHUNKED_REQUEST],
  ])('counts nothing of a kept connection after a request with %s', async (_name, request) => {
    const caller = openCaller(request);
    await waitUntil(() => exchanges.length === 1);
    exchanges[0]!.refuse({ reason: 'noRoute', retryAfterMs: undefined });
    await waitUntil(() => caller.received.includes('404'));
    caller.socket.write(request);
    await waitUntil(() => exchanges.length === 2);
    expect(connections.unfinishedHeadBytes).toBe(0);
    expect(refusals).toEqual([]);
  });

  it('counts a head behind requests that came with it', async () => {
    openCaller(REQUEST + CHUNKED_REQUEST + SMALL_HEAD);
    await waitUntil(() => exchanges.length === 1);
    expect(connections.unfinishedHeadBytes).toBeGreaterThan(SMALL_HEAD.length);
    exchanges[0]!.refuse({ reason: 'noEndpoint', retryAfterMs: undefined });
    await waitUntil(() => exchanges.length === 2);
    expect(connections.unfinishedHeadBytes).toBeGreaterThan(SMALL_HEAD.length);
  });

  it('returns what it has counted when connections close', async () => {
    const callers = [1, 2, 3].map(() => openCaller(SMALL_HEAD));
    openCaller(REQUEST);
    await waitUntil(() => exchanges.length === 1 && connections.unfinishedHeadBytes > 0);
    callers.forEach(({ socket }) => socket.destroy());
    sockets.forEach((socket) => socket.destroy());
    await waitUntil(() => connections.count('callers') === 0);
    expect(connections.unfinishedHeadBytes).toBe(0);
    expect(budget.usedBytes).toBe(0);
  });

  it('refuses a connection beyond the most at once, and accepts one when another has closed', async () => {
    const kept = Array.from({ length: MAX_CONNECTIONS }, () => openCaller(''));
    await waitUntil(() => connections.count('callers') === MAX_CONNECTIONS);
    const refused = openCaller('');
    await waitUntil(() => refused.isClosed);
    expect(refused.received).toContain(REFUSED);
    expect(refusals).toEqual(['connections']);
    kept[0]!.socket.destroy();
    await waitUntil(() => connections.count('callers') === MAX_CONNECTIONS - 1);
    openCaller(REQUEST);
    await waitUntil(() => exchanges.length === 1);
  });

  it('refuses a request for which there is no memory, and serves those that were accepted', async () => {
    openCaller(REQUEST);
    await waitUntil(() => exchanges.length === 1);
    budget.add(budget.maxBytes);
    const late = openCaller(REQUEST);
    await waitUntil(() => late.isClosed);
    expect(late.received).toContain(REFUSED);
    expect(refusals).toEqual(['requests']);
    expect(exchanges).toHaveLength(1);
  });
});

const waitForExchanges = (count: number): Promise<void> =>
  waitUntil(() => exchanges.length === count);

describe('a server whose caller sends requests without waiting for responses', () => {
  it('passes on one at a time, and answers all of them in order', async () => {
    const caller = openCaller(REQUEST.repeat(20));
    for (let count = 1; count <= 20; count += 1) {
      await waitForExchanges(count);
      await delay(5);
      expect(exchanges).toHaveLength(count);
      exchanges.at(-1)!.refuse({ reason: 'noRoute', retryAfterMs: undefined });
    }
    await waitUntil(() => caller.received.match(/HTTP\/1\.1 404 /g)?.length === 20);
    expect(refusals).toEqual([]);
    caller.socket.destroy();
    await waitUntil(() => connections.count('callers') === 0);
    expect(budget.usedBytes).toBe(0);
  });
});
