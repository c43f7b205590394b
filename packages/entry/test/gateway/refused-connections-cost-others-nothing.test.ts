import { connect, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { reservePort } from '@savorywind/stand-ins';
import { afterEach, beforeEach, expect, it } from 'vitest';
import type { CallerExchange } from '../../src/gateway/callers/caller-exchange.js';
import { RequestServer } from '../../src/gateway/callers/request-server.js';
import { CallerConnections } from '../../src/gateway/memory/caller-connections.js';
import { MemoryBudget } from '../../src/gateway/memory/memory-budget.js';
import type { ShortageReason } from '../../src/gateway/memory/types.js';
import { createAdapter, createGatewayConfiguration } from '../fixtures/test-gateway.js';

const HOST = '127.0.0.1';
const MAX_CONNECTIONS = 30;

/** Memory for unfinished heads, in bytes. */
const HEAD_BYTES = 500_000;

/** A request, and behind it as much as one read takes. */
const REQUEST = 'GET /a HTTP/1.1\r\nHost: a\r\n\r\n';
const LARGE_INPUT = REQUEST + 'x'.repeat(60_000);

/** Time between the two parts of a small head, in milliseconds. */
const HEAD_PAUSE_MS = 50;

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

const LARGE_CALLERS = 6;

// What refused connections have sent is counted until they close, and costs the small heads of others.
it('a head is read although connections were refused that wait for their responses', async () => {
  Array.from({ length: LARGE_CALLERS }, () => openCaller(LARGE_INPUT));
  await waitUntil(() => refusals.length > 0 && exchanges.length === LARGE_CALLERS);
  const refused = refusals.length;
  const { socket } = openCaller(REQUEST.slice(0, -2));
  await delay(HEAD_PAUSE_MS);
  socket.write(REQUEST.slice(-2));
  await waitUntil(() => exchanges.length === LARGE_CALLERS + 1);
  expect(refusals).toHaveLength(refused);
});
