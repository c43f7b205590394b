import { reservePort } from '@savorywind/stand-ins';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { WebSocket, WebSocketServer } from 'ws';
import type { RequestServer } from '../../src/gateway/callers/request-server.js';
import { createPeerServer } from '../../src/gateway/peers/peer-server.js';
import { createAdapter, createGatewayConfiguration } from '../fixtures/test-gateway.js';

const HOST = '127.0.0.1';
const OTHER_HOST = '127.0.0.2';

let server: RequestServer;
let feed: WebSocketServer;
let port: number;
let refused: string[][];

beforeEach(async () => {
  port = await reservePort();
  refused = [];
  feed = new WebSocketServer({ noServer: true });
  server = createPeerServer({
    requestOptions: {
      address: { host: HOST, port },
      wire: createAdapter(createGatewayConfiguration(), []).wire,
      onRequestReceived: () => {},
      onDisconnected: () => {},
      onUnreadRefused: () => {},
      onAcceptFailed: () => {},
    },
    isPeer: (host) => host === OTHER_HOST,
    onStrangerRefused: (...refusal) => refused.push(refusal),
    onUpgrade: (incoming, socket, head) => feed.handleUpgrade(incoming, socket, head, () => {}),
  });
  await server.start();
});

afterEach(() => {
  feed.clients.forEach((client) => client.terminate());
  server.stop();
  server.closeAllConnections();
});

/** Asks for a connection of the feed, and returns the status of the response. */
const connectFrom = (localAddress: string): Promise<number | undefined> =>
  new Promise((resolve, reject) => {
    const socket = new WebSocket(`ws://${HOST}:${port}/tables`, { localAddress });
    socket.on('upgrade', ({ statusCode }) => resolve(statusCode));
    socket.on('unexpected-response', (_request, { statusCode }) => resolve(statusCode));
    socket.on('error', reject);
  });

// The tables are the whole configuration and all registrations.
describe('the feed of tables', () => {
  it('is opened to a registered entry VM', async () => {
    expect(await connectFrom(OTHER_HOST)).toBe(101);
    expect(refused).toEqual([]);
  });

  it('is refused to anybody else', async () => {
    expect(await connectFrom(HOST)).toBe(403);
    expect(refused).toEqual([[HOST, 'sender is not registered']]);
  });
});
