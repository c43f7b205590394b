import { once } from 'node:events';
import type { IncomingMessage } from 'node:http';
import { createConnection, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { reservePort } from '@savorywind/stand-ins';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { MetricsServer } from '../../src/gateway/metrics/metrics-server.js';
import { createStatusServer } from '../../src/gateway/status-server.js';
import { Containment } from '../../src/runtime/containment.js';

const GET = 'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n';
const HEAD_WITH_BODY = 'POST /metrics HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n';

/** Longest wait for what a check needs. */
const WAIT_OPTIONS = { timeout: 10_000 };

const EXPECTING_HEAD_WITH_BODY =
  'POST /metrics HTTP/1.1\r\nHost: x\r\nExpect: x\r\nTransfer-Encoding: chunked\r\n\r\n';

const SMALL_CHUNKS = '1\r\nx\r\n'.repeat(20_000);

/** Metrics are rendered anew after this time at the latest, in milliseconds. */
const RENDER_INTERVAL_MS = 150;

let server: MetricsServer;
let port: number;
let renderings: number;
let sockets: Socket[];

beforeEach(async () => {
  port = await reservePort();
  renderings = 0;
  sockets = [];
  server = new MetricsServer(
    { host: '127.0.0.1', port },
    () => {
      renderings += 1;
      return 'state';
    },
    new Containment(() => {}),
  );
  await server.start();
});

afterEach(() => {
  sockets.forEach((socket) => socket.destroy());
  server.stop();
});

interface Asker {
  readonly socket: Socket;
  received: string;
  isClosed: boolean;
}

const openAsker = (bytes: string, askedPort = port): Asker => {
  const socket = createConnection(askedPort, '127.0.0.1', () => socket.write(bytes));
  const asker: Asker = { socket, received: '', isClosed: false };
  socket.on('data', (chunk) => {
    asker.received += chunk.toString();
  });
  socket.on('error', () => {});
  socket.on('close', () => {
    asker.isClosed = true;
  });
  sockets.push(socket);
  return asker;
};

/** Reports the bytes of a request's body as the parser passes them on. */
const countParsed = (incoming: IncomingMessage, onParsed: (bytes: number) => void): void => {
  const push = incoming.push.bind(incoming);
  Object.assign(incoming, {
    push: (chunk: Buffer | null) => {
      onParsed(chunk?.length ?? 0);
      return push(chunk);
    },
  });
};

const countResponses = ({ received }: Asker): number => received.split('HTTP/1.1 ').length - 1;

describe('requests for the state of an entry VM', () => {
  it('are answered one after the other on a connection', async () => {
    const asker = openAsker(GET);
    await expect.poll(() => countResponses(asker), WAIT_OPTIONS).toBe(1);
    await delay(RENDER_INTERVAL_MS);
    asker.socket.write(GET);
    await expect.poll(() => countResponses(asker), WAIT_OPTIONS).toBe(2);
    expect(asker.isClosed).toBe(false);
    expect(renderings).toBe(2);
  });

  it('are rendered once if many are sent without waiting', async () => {
    const asker = openAsker(GET.repeat(500));
    await expect.poll(() => asker.isClosed, WAIT_OPTIONS).toBe(true);
    expect(renderings).toBe(1);
    expect(countResponses(asker)).toBe(1);
  });

  it('are not read on if they have a body', async () => {
    const asker = openAsker(HEAD_WITH_BODY);
    // What is written to a socket that is not connected yet would be sent before the head.
    await once(asker.socket, 'connect');
    const timer = setInterval(() => asker.socket.write('1\r\nx\r\n'.repeat(1_000)), 5);
    await expect.poll(() => asker.isClosed, WAIT_OPTIONS).toBe(true);
    clearInterval(timer);
    expect(countResponses(asker)).toBe(1);
    expect(renderings).toBe(1);
  });

  it('are parsed without their bodies, of which each small chunk would take a call', async () => {
    let requests = 0;
    let parsedBytes = 0;
    const status = createStatusServer((incoming, outgoing) => {
      requests += 1;
      countParsed(incoming, (bytes) => {
        parsedBytes += bytes;
      });
      outgoing.writeHead(200).end();
    });
    const statusPort = await reservePort();
    await new Promise<void>((resolve) => {
      status.listen(statusPort, '127.0.0.1', resolve);
    });
    const bytes = HEAD_WITH_BODY + SMALL_CHUNKS;
    const askers = Array.from({ length: 50 }, () => openAsker(bytes, statusPort));
    await expect.poll(() => askers.every(({ isClosed }) => isClosed), WAIT_OPTIONS).toBe(true);
    status.close();
    expect(askers.map(countResponses)).toEqual(askers.map(() => 1));
    expect(requests).toBe(askers.length);
    expect(parsedBytes).toBe(0);
  });

  it('are refused at once if they wait to be told to send a body', async () => {
    const asker = openAsker(EXPECTING_HEAD_WITH_BODY + SMALL_CHUNKS);
    await expect.poll(() => asker.isClosed, WAIT_OPTIONS).toBe(true);
    expect(asker.received).toMatch(/^HTTP\/1\.1 417 /);
    expect(countResponses(asker)).toBe(1);
  });

  it('are rendered a few times a second however many ask', async () => {
    const askers = Array.from({ length: 40 }, () => openAsker(GET));
    await expect.poll(() => askers.every((asker) => countResponses(asker) === 1)).toBe(true);
    expect(renderings).toBeLessThan(10);
  });

  it('leave room for others if many connections are kept open', async () => {
    const kept = Array.from({ length: 200 }, () => openAsker(''));
    await expect
      .poll(() => kept.filter(({ isClosed }) => !isClosed).length, WAIT_OPTIONS)
      .toBeLessThanOrEqual(64);
    const asker = openAsker(GET);
    await expect.poll(() => countResponses(asker), WAIT_OPTIONS).toBe(1);
  });
});
