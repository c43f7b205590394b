import { connect, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { reservePort } from '@savorywind/stand-ins';
import { afterEach, beforeEach, expect, it } from 'vitest';
import type { CallerExchange } from '../../src/gateway/callers/caller-exchange.js';
import { RequestServer } from '../../src/gateway/callers/request-server.js';
import { CallerConnections } from '../../src/gateway/memory/caller-connections.js';
import { computeUnfinishedHeadPrice } from '../../src/gateway/memory/head-prices.js';
import { MemoryBudget } from '../../src/gateway/memory/memory-budget.js';
import type { ShortageReason } from '../../src/gateway/memory/types.js';
import { createAdapter, createGatewayConfiguration } from '../fixtures/test-gateway.js';

const HOST = '127.0.0.1';
const MAX_CONNECTIONS = 8;

/** Memory for unfinished heads, in bytes: more than the test takes. */
const HEAD_BYTES = 2_000_000;

/** Fields without the space behind the colon, below the limit of 16 kB for a head. */
const FIELDS = 'a:b\r\n'.repeat(2_000);
const TIGHT_REQUEST = `GET /a HTTP/1.1\r\nHost:a\r\n${FIELDS}\r\n`;
const REQUESTS = 10;

/** One chunk that arrives in as many reads as it has bytes. */
const CHUNK_BYTES = 1_000;
const CHUNKED_HEAD = 'POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';

/** Price of the unfinished head on a new connection, in bytes. */
const UNFINISHED_HEAD = `GET /a HTTP/1.1\r\nA: ${'b'.repeat(4_000)}`;
const PRICE_BYTES = computeUnfinishedHeadPrice(UNFINISHED_HEAD.length);

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
  const endsAtMs = performance.now() + 20_000;
  while (!isTrue()) {
    if (performance.now() > endsAtMs) throw new Error('what is waited for does not happen');
    await delay(5);
  }
};

const answerNext = async (count: number): Promise<void> => {
  await waitUntil(() => exchanges.length === count);
  exchanges.at(-1)!.refuse({ reason: 'noRoute', retryAfterMs: undefined });
};

// What earlier requests are counted too high is taken off the price of the next head.
it('a head is counted in full behind requests without spaces in their heads', async () => {
  const caller = openCaller('');
  for (let count = 1; count <= REQUESTS; count += 1) {
    caller.socket.write(TIGHT_REQUEST);
    await answerNext(count);
  }
  await delay(50);
  caller.socket.write(UNFINISHED_HEAD);
  await delay(100);
  expect(connections.unfinishedHeadBytes).toBeGreaterThanOrEqual(PRICE_BYTES);
});

it('a head is counted in full behind a chunk that arrived in many reads', async () => {
  const caller = openCaller(`${CHUNKED_HEAD}${CHUNK_BYTES.toString(16)}\r\n`);
  caller.socket.setNoDelay(true);
  await waitUntil(() => connections.count('callers') === 1);
  await delay(50);
  for (let count = 0; count < CHUNK_BYTES; count += 1) {
    caller.socket.write('x');
    await delay(0);
  }
  caller.socket.write('\r\n0\r\n\r\n');
  await answerNext(1);
  await delay(50);
  caller.socket.write(UNFINISHED_HEAD);
  await delay(100);
  expect(connections.unfinishedHeadBytes).toBeGreaterThanOrEqual(PRICE_BYTES);
});
