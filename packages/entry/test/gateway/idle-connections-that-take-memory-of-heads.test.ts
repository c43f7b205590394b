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
const MAX_CONNECTIONS = 8;

/** Memory for unfinished heads, in bytes: for some 1,600 bytes of them. */
const HEAD_BYTES = 20_000;

/** A complete body of 2,000 bytes, each chunk with a size that has leading zeros. */
const BODY = `${'00000008\r\nabcdefgh\r\n'.repeat(250)}0\r\n\r\n`;
const REQUEST = `POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${BODY}`;
const SPACED_REQUEST = `GET /a HTTP/1.1\r\nHost: a\r\nA: b${' '.repeat(1_700)}\r\n\r\n`;

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

const answerNext = async (count: number): Promise<void> => {
  await waitUntil(() => exchanges.length === count);
  exchanges.at(-1)!.refuse({ reason: 'noRoute', retryAfterMs: undefined });
};

it.each([
  ['zeros before the sizes of its chunks', REQUEST],
  ['spaces behind a value', SPACED_REQUEST],
])('an idle connection takes no memory of heads after a request with %s', async (_name, bytes) => {
  const callers: TestCaller[] = [];
  for (let count = 1; count <= 4; count += 1) {
    callers.push(openCaller(bytes));
    await answerNext(count);
  }
  await delay(100);
  expect(refusals).toEqual([]);
  expect(callers.map(({ isClosed }) => isClosed)).toEqual([false, false, false, false]);
  expect(connections.unfinishedHeadBytes).toBe(0);
});
