import { connect, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { reservePort } from '@savorywind/stand-ins';
import { afterEach, describe, expect, it } from 'vitest';
import type { CallerExchange } from '../../src/gateway/callers/caller-exchange.js';
import { RequestServer } from '../../src/gateway/callers/request-server.js';
import { createAdapter, createGatewayConfiguration } from '../fixtures/test-gateway.js';

/** More than the socket buffers of a connection on loopback hold. */
const LARGE_BYTES = 40_000_000;

const REQUEST = 'GET /a HTTP/1.1\r\nHost: shop.example\r\n\r\n';

const closers: (() => void)[] = [];

afterEach(() => closers.splice(0).forEach((close) => close()));

interface TestServer {
  readonly port: number;
  readonly server: RequestServer;
  readonly exchanges: CallerExchange[];
  readonly disconnected: string[];
}

const startServer = async (): Promise<TestServer> => {
  const port = await reservePort();
  const exchanges: CallerExchange[] = [];
  const disconnected: string[] = [];
  const server = new RequestServer({
    address: { host: '127.0.0.1', port },
    wire: createAdapter(createGatewayConfiguration(), []).wire,
    onRequestReceived: (exchange) => exchanges.push(exchange),
    onDisconnected: (requestId) => disconnected.push(requestId),
    onUnreadRefused: () => {},
    onAcceptFailed: () => {},
  });
  await server.start();
  closers.push(() => {
    server.stop();
    server.closeAllConnections();
  });
  return { port, server, exchanges, disconnected };
};

const openConnection = (port: number, bytes: string): Socket => {
  const socket = connect(port, '127.0.0.1', () => socket.write(bytes));
  socket.on('error', () => {});
  closers.push(() => socket.destroy());
  return socket;
};

const waitUntil = async (isTrue: () => boolean): Promise<void> => {
  while (!isTrue()) await delay(5);
};

/** Reads to the end of the connection, and counts the bytes. */
const countBytes = (socket: Socket): Promise<number> =>
  new Promise((resolve) => {
    let bytes = 0;
    socket.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
    });
    socket.on('close', () => resolve(bytes));
  });

describe('a server for callers', () => {
  it('waits for a slow reader of a complete response before connections may close', async () => {
    const { port, server, exchanges } = await startServer();
    server.stopKeepAlive();
    const socket = openConnection(port, REQUEST);
    await waitUntil(() => exchanges.length === 1);
    exchanges[0]!.send(Buffer.alloc(LARGE_BYTES));
    exchanges[0]!.finish();
    server.stop();
    let isWritten = false;
    server.waitForResponses(() => {
      isWritten = true;
      server.closeAllConnections();
    });
    await delay(100);
    expect(isWritten).toBe(false);
    expect(await countBytes(socket)).toBeGreaterThan(LARGE_BYTES);
  });

  it('sends what was written before it breaks a response off', async () => {
    const { port, exchanges } = await startServer();
    const socket = openConnection(port, REQUEST);
    await waitUntil(() => exchanges.length === 1);
    exchanges[0]!.send(Buffer.alloc(LARGE_BYTES));
    exchanges[0]!.abort();
    expect(await countBytes(socket)).toBeGreaterThan(LARGE_BYTES);
  });

  it('does not wait for a caller that reads nothing of a response that was broken off', async () => {
    const { port, exchanges, server } = await startServer();
    openConnection(port, REQUEST).pause();
    await waitUntil(() => exchanges.length === 1);
    exchanges[0]!.send(Buffer.alloc(LARGE_BYTES));
    exchanges[0]!.abort();
    await waitUntil(() => server.openResponseCount === 0);
  });

  it('refuses a request that arrives after its stop, without reading the body', async () => {
    const { port, exchanges, server } = await startServer();
    const socket = openConnection(port, REQUEST);
    await waitUntil(() => exchanges.length === 1);
    server.stop();
    let received = '';
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString();
    });
    socket.write('POST /a HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 4\r\n\r\nab');
    await delay(50);
    exchanges[0]!.finish();
    await waitUntil(() => received.includes('HTTP/1.1 503 '));
    expect(exchanges).toHaveLength(1);
  });

  it('reports the open request of a connection as disconnected, and passes on none behind it', async () => {
    const { port, exchanges, disconnected, server } = await startServer();
    const socket = openConnection(port, REQUEST.repeat(3));
    await waitUntil(() => exchanges.length === 1);
    await delay(50);
    socket.destroy();
    await waitUntil(() => disconnected.length === 1);
    await delay(50);
    expect(server.openResponseCount).toBe(0);
    expect(exchanges).toHaveLength(1);
  });
});
