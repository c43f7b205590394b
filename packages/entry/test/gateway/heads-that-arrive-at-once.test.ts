// Heads of thousands of connections that were parsed in one turn of the event loop held up other callers.
import { connect, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { reservePort } from '@savorywind/stand-ins';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { RequestServer } from '../../src/gateway/callers/request-server.js';
import { createAdapter, createGatewayConfiguration } from '../fixtures/test-gateway.js';

const HOST = '127.0.0.1';
const CALLERS = 100;

/** Size of each head, in bytes: below the limit of callers. */
const HEAD_BYTES = 12_000;

/** Most heads of this size that may be parsed in one turn of the event loop. */
const MAX_HEADS_PER_TURN = 30;

/** More than a connection holds before it is paused, in bytes. */
const BODY_BYTES = 200_000;

const WAIT_MS = 20_000;

const buildHead = (path: string, headBytes: number, bodyBytes = 0): string => {
  const start = `POST ${path} HTTP/1.1\r\nHost: a\r\nContent-Length: ${bodyBytes}\r\n`;
  return `${start}${'a:b\r\n'.repeat(Math.max(0, headBytes - start.length) / 5)}\r\n`;
};

const LARGE_REQUEST = buildHead('/large', HEAD_BYTES);

let server: RequestServer;
let port: number;
let sockets: Socket[];
/** Paths of the requests that were received, in order. */
let received: string[];
/** How many requests with large heads were received in each turn of the event loop. */
let largeInTurn: Map<number, number>;
let turn: number;
let isCountingTurns: boolean;
let answers: string[];

const countTurns = (): void => {
  turn += 1;
  if (isCountingTurns) setImmediate(countTurns);
};

beforeEach(async () => {
  port = await reservePort();
  sockets = [];
  received = [];
  answers = [];
  largeInTurn = new Map();
  turn = 0;
  isCountingTurns = true;
  server = new RequestServer({
    address: { host: HOST, port },
    wire: createAdapter(createGatewayConfiguration(), []).wire,
    onRequestReceived: (exchange, path) => {
      received.push(path);
      if (path === '/large') largeInTurn.set(turn, (largeInTurn.get(turn) ?? 0) + 1);
      exchange.refuse({ reason: 'noRoute', retryAfterMs: undefined });
    },
    onDisconnected: () => {},
    onUnreadRefused: () => {},
    onAcceptFailed: () => {},
  });
  await server.start();
});

afterEach(() => {
  isCountingTurns = false;
  sockets.forEach((socket) => socket.destroy());
  server.stop();
  server.closeAllConnections();
});

const openCaller = (): Promise<Socket> =>
  new Promise((resolve) => {
    const socket = connect(port, HOST, () => resolve(socket));
    sockets.push(socket);
    socket.on('error', () => {});
    socket.on('data', (bytes: Buffer) => answers.push(bytes.toString('latin1')));
  });

const waitUntil = async (isTrue: () => boolean): Promise<void> => {
  const endMs = performance.now() + WAIT_MS;
  while (!isTrue() && performance.now() < endMs) await delay(5);
};

const openCallers = async (): Promise<Socket[]> => {
  const opened = await Promise.all(Array.from({ length: CALLERS }, openCaller));
  // Each has had a request, so that its next one is not the first thing that is read of it.
  opened.forEach((socket) => socket.write(buildHead('/first', 0)));
  await waitUntil(() => answers.length === CALLERS);
  received = [];
  answers = [];
  return opened;
};

describe('large heads that arrive on many connections at once', () => {
  it('are parsed some in each turn of the event loop', async () => {
    const callers = await openCallers();
    countTurns();
    callers.forEach((socket) => socket.write(LARGE_REQUEST));
    await waitUntil(() => received.length === CALLERS);
    expect(received).toHaveLength(CALLERS);
    expect(Math.max(...largeInTurn.values())).toBeLessThanOrEqual(MAX_HEADS_PER_TURN);
  });

  it('do not have a small request wait until they are parsed', async () => {
    const callers = await openCallers();
    const sound = await openCaller();
    callers.forEach((socket) => socket.write(LARGE_REQUEST));
    sound.write(buildHead('/sound', 0));
    await waitUntil(() => received.length === CALLERS + 1);
    expect(received).toHaveLength(CALLERS + 1);
    expect(received.indexOf('/sound')).toBeLessThan(CALLERS / 2);
  });

  it('are all answered where their callers have closed their direction', async () => {
    const callers = await openCallers();
    callers.forEach((socket) => socket.end(LARGE_REQUEST));
    await waitUntil(() => answers.length === CALLERS);
    expect(received).toEqual(Array.from({ length: CALLERS }, () => '/large'));
    expect(answers).toHaveLength(CALLERS);
  });

  it('are all answered where more follows than a connection holds', async () => {
    const callers = await openCallers();
    const request = buildHead('/large', HEAD_BYTES, BODY_BYTES) + 'x'.repeat(BODY_BYTES);
    callers.forEach((socket) => socket.write(request));
    await waitUntil(() => answers.length === CALLERS);
    expect(received).toEqual(Array.from({ length: CALLERS }, () => '/large'));
  });

  it('are all answered where the server closes meanwhile', async () => {
    const callers = await openCallers();
    callers.forEach((socket) => socket.write(LARGE_REQUEST));
    await waitUntil(() => received.length > 0);
    server.close();
    await waitUntil(() => answers.length === CALLERS);
    expect(answers).toHaveLength(CALLERS);
  });
});
