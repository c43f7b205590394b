import { request } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import type { GatewayConfiguration } from '@savorywind/model';
import type { GatewayAdapter } from '../../src/gateway/types.js';
import {
  createGatewayConfiguration,
  startRawServer,
  startTestGateway,
  type TestGateway,
} from '../fixtures/test-gateway.js';

const HOST = '127.0.0.1';
const RESPONSE = 'HTTP/1.1 200 OK\r\nX-Receipt: r\r\nContent-Length: 4\r\n\r\ndone';

/** Time that the slow endpoint takes, in milliseconds: longer than all else that the tests do. */
const SLOW_MS = 400;

let gateway: TestGateway;
const closers: (() => void)[] = [];

afterEach(() => {
  gateway.process.stopImmediately();
  closers.splice(0).forEach((close) => close());
});

/** Starts an endpoint that answers each request with the bytes, or late where its path is /slow. */
const startEndpoint = async (
  response = RESPONSE,
): Promise<{ readonly port: number; readonly received: string[] }> => {
  const received: string[] = [];
  const { port, close } = await startRawServer((socket) =>
    socket.on('data', (bytes) => {
      received.push(bytes.toString());
      const isSlow = bytes.toString().includes(' /slow ');
      setTimeout(() => socket.write(isSlow ? RESPONSE : response), isSlow ? SLOW_MS : 0);
    }),
  );
  closers.push(close);
  return { port, received };
};

interface Answer {
  readonly status: number | 'closed';
  readonly body: string;
}

const send = (port: number, path: string, headers: Record<string, string> = {}): Promise<Answer> =>
  new Promise((resolve) => {
    const outgoing = request(
      { host: HOST, port, path, headers: { Host: 'shop.example', ...headers }, agent: false },
      (response) => {
        let body = '';
        response.on('data', (chunk: Buffer) => {
          body += chunk.toString();
        });
        response.on('error', () => {});
        response.on('close', () =>
          resolve({ status: response.complete ? (response.statusCode ?? 0) : 'closed', body }),
        );
      },
    );
    outgoing.on('error', () => resolve({ status: 'closed', body: '' }));
    outgoing.end();
  });

/** Number of failures of a kind of work that the metrics show. */
const countContained = async (work: string): Promise<number> => {
  const { body } = await send(gateway.metricsPort, '/metrics');
  return Number(
    new RegExp(`^savorywind_failed_work_total{work="${work}"} (\\d+)$`, 'm').exec(body)?.[1] ?? 0,
  );
};

const retryOnce = (configuration: GatewayConfiguration): Partial<GatewayConfiguration> => ({
  routes: configuration.routes.map((route) => ({ ...route, maxAttempts: 2 })),
});

const start = async (
  ports: readonly number[],
  changeAdapter: (adapter: GatewayAdapter) => GatewayAdapter = (adapter) => adapter,
): Promise<void> => {
  const changes = retryOnce(createGatewayConfiguration());
  gateway = await startTestGateway(ports, changes, undefined, {}, changeAdapter);
};

const throwBadHeader = (): never => {
  throw Object.assign(new TypeError('Invalid character in header content'), {
    code: 'ERR_INVALID_CHAR',
  });
};

/** Has attempts throw before a byte is sent, where `isBad` is true of the endpoint. */
const failToSendTo =
  (isBad: (endpoint: string) => boolean, isOn: () => boolean = () => true) =>
  (adapter: GatewayAdapter): GatewayAdapter => ({
    ...adapter,
    wire: {
      ...adapter.wire,
      buildAttemptHeaders: (attempt) =>
        isOn() && isBad(attempt.endpoint.id) ? throwBadHeader() : [],
    },
  });

describe('a request that can’t be put into bytes', () => {
  it('is refused as not run, and costs neither its endpoints nor a request that is open', async () => {
    let isOn = false;
    const endpoint = await startEndpoint();
    await start(
      [endpoint.port],
      failToSendTo(
        () => true,
        () => isOn,
      ),
    );
    const slow = send(gateway.port, '/slow');
    await delay(50);
    isOn = true;
    expect((await send(gateway.port, '/bad')).status).toBe(503);
    isOn = false;
    // The endpoint is not ejected for it.
    expect(await send(gateway.port, '/next')).toEqual({ status: 200, body: 'done' });
    expect(await slow).toEqual({ status: 200, body: 'done' });
    expect(endpoint.received.some((text) => text.includes('/bad'))).toBe(false);
    // There is no other endpoint.
    expect(await countContained('attempt.start')).toBe(2);
  });

  it('is tried at no more than two endpoints', async () => {
    const endpoints = await Promise.all([1, 2, 3, 4].map(() => startEndpoint()));
    await start(
      endpoints.map(({ port }) => port),
      failToSendTo(() => true),
    );
    expect((await send(gateway.port, '/bad')).status).toBe(503);
    expect(await countContained('attempt.start')).toBe(2);
  });

  it('goes to another endpoint if the endpoint is the cause', async () => {
    const good = await startEndpoint();
    const bad = await startEndpoint();
    await start(
      [good.port, bad.port],
      failToSendTo((id) => id === `endpoint-${bad.port}`),
    );
    for (let count = 0; count < 20; count += 1)
      expect(await send(gateway.port, '/a')).toEqual({ status: 200, body: 'done' });
    expect(bad.received).toEqual([]);
    // The endpoint is ejected as soon as the other one has answered.
    expect(await countContained('attempt.start')).toBeLessThan(5);
  });
});

describe('an endpoint whose address can’t be used', () => {
  it('ends no process: its requests go to others, or are refused as not run', async () => {
    const good = await startEndpoint();
    await start([80_800, good.port]);
    for (let count = 0; count < 10; count += 1)
      expect(await send(gateway.port, '/a')).toEqual({ status: 200, body: 'done' });
  });

  it('gives a clear error if there is no other', async () => {
    await start([80_800]);
    expect((await send(gateway.port, '/a')).status).toBe(503);
    expect((await send(gateway.port, '/a')).status).toBe(503);
  });
});

describe('a response that can’t be passed on', () => {
  it.each([
    [
      'a header that is none',
      'HTTP/1.1 200 OK\r\nX-Receipt: r\r\nno header: 1\r\nContent-Length: 4\r\n\r\ndone',
    ],
    ['a status that is none', 'HTTP/1.1 099 X\r\nX-Receipt: r\r\nContent-Length: 4\r\n\r\ndone'],
  ])('is an error for its caller, and for nobody else: %s', async (_case, response) => {
    const endpoint = await startEndpoint(response);
    await start([endpoint.port]);
    const slow = send(gateway.port, '/slow');
    await delay(50);
    expect((await send(gateway.port, '/a')).status).toBe(502);
    expect(await slow).toEqual({ status: 200, body: 'done' });
    expect(await send(gateway.port, '/slow')).toEqual({ status: 200, body: 'done' });
  });

  it('is an error for its caller if its head can’t be decoded', async () => {
    const endpoint = await startEndpoint();
    let isOn = false;
    await start([endpoint.port], (adapter) => ({
      ...adapter,
      wire: {
        ...adapter.wire,
        readResponse: (status, headers) =>
          isOn ? throwBadHeader() : adapter.wire.readResponse(status, headers),
      },
    }));
    isOn = true;
    expect((await send(gateway.port, '/a')).status).toBe(502);
    expect(await countContained('attempt.response')).toBeGreaterThan(0);
    isOn = false;
    await delay(600);
    expect(await send(gateway.port, '/a')).toEqual({ status: 200, body: 'done' });
  });
});
