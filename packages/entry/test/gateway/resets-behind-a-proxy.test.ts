// Guards against a stream without a length that was reset and looks complete, and tells what a proxy makes of it.
import { request, type IncomingMessage } from 'node:http';
import { connect, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import {
  createGatewayConfiguration,
  startRawServer,
  startTestGateway,
  type TestGateway,
} from '../fixtures/test-gateway.js';

const HOST = '127.0.0.1';

/** Without a length, and without chunks: the stream ends with its connection. */
const STREAM_HEAD = 'HTTP/1.1 200 OK\r\nX-Receipt: r\r\nContent-Type: text/event-stream\r\n\r\n';
const EVENTS = 'id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n';
const STREAMS = 60;

/** Times from the events to the reset, in milliseconds: before, while and after they are passed on. */
const RESET_DELAYS_MS = [0, 1, 3, 10];

/** What a proxy does with one side of a connection once the other one has been reset. */
type ProxyEnd = 'reset' | 'orderly';

const END_HANDLERS: Readonly<Record<ProxyEnd, (socket: Socket) => void>> = {
  reset: (socket) => socket.resetAndDestroy(),
  orderly: (socket) => socket.end(),
};

interface ProxiedEnd {
  /** Streams whose engine has reset its connection. */
  readonly resets: number;
  /** Connections to the entry VM that the proxy has ended in order. */
  readonly orderlyEnds: number;
  /** Streams that looked complete to their callers. */
  readonly complete: number;
}

const closers: (() => void)[] = [];

afterEach(() => closers.splice(0).forEach((close) => close()));

const startEngine = async (onReset: () => void): Promise<number> => {
  let streams = 0;
  const { port, close } = await startRawServer((socket) =>
    socket.on('data', (bytes: Buffer) => {
      if (!bytes.toString().startsWith('GET ')) return;
      const delayMs = RESET_DELAYS_MS[streams % RESET_DELAYS_MS.length]!;
      streams += 1;
      socket.write(STREAM_HEAD + EVENTS, () => {
        setTimeout(() => {
          onReset();
          socket.resetAndDestroy();
        }, delayMs);
      });
    }),
  );
  closers.push(close);
  return port;
};

const startProxy = async (
  enginePort: number,
  end: ProxyEnd,
  onEnded: () => void,
): Promise<number> => {
  const { port, close } = await startRawServer((entrySide) => {
    const engineSide = connect(enginePort, HOST);
    engineSide.on('data', (bytes: Buffer) => entrySide.write(bytes));
    entrySide.on('data', (bytes: Buffer) => engineSide.write(bytes));
    engineSide.on('error', () => {
      if (end === 'orderly') onEnded();
      END_HANDLERS[end](entrySide);
    });
    entrySide.on('close', () => engineSide.destroy());
  });
  closers.push(close);
  return port;
};

const readIsComplete = (response: IncomingMessage): Promise<boolean> =>
  new Promise((resolve) => {
    response.resume();
    response.on('error', () => {});
    response.on('close', () => resolve(response.complete));
  });

const call = ({ port }: TestGateway, attempt: number): Promise<boolean> =>
  new Promise((resolve, reject) => {
    const headers = { Host: 'shop.example', 'X-Try': `t${attempt}`, 'X-Waits': '2000' };
    request({ host: HOST, port, path: '/a', headers, agent: false }, (response) =>
      resolve(response.statusCode === 200 ? readIsComplete(response) : false),
    )
      .on('error', reject)
      .end();
  });

const playResets = async (end: ProxyEnd): Promise<ProxiedEnd> => {
  let resets = 0;
  let orderlyEnds = 0;
  const enginePort = await startEngine(() => {
    resets += 1;
  });
  const proxyPort = await startProxy(enginePort, end, () => {
    orderlyEnds += 1;
  });
  const [route] = createGatewayConfiguration().routes;
  const routes = [{ ...route!, kind: 'streaming', resumable: false, maxAttempts: 1 } as const];
  const gateway = await startTestGateway([proxyPort], { routes });
  closers.push(() => gateway.process.stopImmediately());
  let complete = 0;
  for (let attempt = 0; attempt < STREAMS; attempt += 1) {
    if (await call(gateway, attempt)) complete += 1;
    await delay(1);
  }
  return { resets, orderlyEnds, complete };
};

describe('a stream without a length whose engine resets its connection behind a proxy', () => {
  it('never looks complete if the proxy passes the reset on', async () => {
    const { resets, complete } = await playResets('reset');
    expect(resets).toBeGreaterThan(0);
    expect(complete).toBe(0);
  });

  it('looks complete at most as often as the proxy has ended the connection in order', async () => {
    const { resets, orderlyEnds, complete } = await playResets('orderly');
    expect(resets).toBeGreaterThan(0);
    expect(complete).toBeLessThanOrEqual(orderlyEnds);
  });
});
