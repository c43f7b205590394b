import { connect } from 'node:net';
import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest';
import { startTestEntry, TEST_HEADERS, type TestEntry } from './fixtures/test-entry.js';
import { startTestService, type TestService } from './fixtures/test-service.js';

describe('plain services', () => {
  let service: TestService;
  let entry: TestEntry;

  beforeAll(async () => {
    service = await startTestService();
    entry = await startTestEntry({
      servicePort: service.port,
      limits: { callerStallMs: 200 },
    });
  });

  afterEach(() => {
    service.calls.length = 0;
    service.respond = (response) => response.end('ok');
  });

  afterAll(async () => {
    await entry.close();
    await service.close();
  });

  it('receive method, path, query, end-to-end headers and body unchanged', async () => {
    await fetch(`${entry.url}/services/booking/bookings/17?chair=window&day=s%C3%A1t`, {
      method: 'PUT',
      headers: {
        ...TEST_HEADERS,
        'idempotency-key': 'k1',
        'x-note': 'n',
        'x-request-timeout': '9',
      },
      body: '{"a":1}',
    });
    const [call] = service.calls;
    expect(call).toMatchObject({
      method: 'PUT',
      url: '/bookings/17?chair=window&day=s%C3%A1t',
      body: '{"a":1}',
      headers: { 'x-note': 'n', 'content-length': '7', 'content-type': 'application/json' },
    });
    expect(call?.headers.authorization).toBeUndefined();
    expect(call?.headers['x-request-id']).toMatch(/^entry-a1-/);
  });

  it('have their status, headers and body forwarded, with the request id added', async () => {
    service.respond = (response) => {
      response.writeHead(418, {
        'set-cookie': ['a=1', 'b=2'],
        'x-kind': 'teapot',
        connection: 'x-hop',
        'x-hop': 'this connection only',
      });
      response.end('short');
    };
    const response = await fetch(`${entry.url}/services/booking/bookings/1`, {
      headers: TEST_HEADERS,
    });
    expect(response.status).toBe(418);
    expect(response.headers.getSetCookie()).toEqual(['a=1', 'b=2']);
    expect(response.headers.get('x-kind')).toBe('teapot');
    expect(response.headers.get('x-hop')).toBeNull();
    expect(response.headers.get('x-request-id')).toMatch(/^entry-a1-/);
    expect(await response.text()).toBe('short');
  });

  it('have their response bodies forwarded as they arrive', async () => {
    let finishResponse: () => void = () => {};
    service.respond = (response) => {
      response.write('first ');
      finishResponse = () => response.end('second');
    };
    const response = await fetch(`${entry.url}/services/booking/bookings/1`, {
      headers: TEST_HEADERS,
    });
    const reader = response.body!.pipeThrough(new TextDecoderStream()).getReader();
    expect((await reader.read()).value).toBe('first ');
    finishResponse();
    expect((await reader.read()).value).toBe('second');
    expect((await reader.read()).done).toBe(true);
  });

  it('receive a single request if a method that usually has no body carries one', async () => {
    const inner = 'GET /admin HTTP/1.1\r\nhost: x\r\n\r\n';
    await fetch(`${entry.url}/services/booking/bookings/1`, {
      method: 'DELETE',
      headers: TEST_HEADERS,
      body: inner,
    });
    await fetch(`${entry.url}/services/booking/bookings/2`, { headers: TEST_HEADERS });
    expect(service.calls.map(({ method, url, body }) => [method, url, body])).toEqual([
      ['DELETE', '/bookings/1', inner],
      ['GET', '/bookings/2', ''],
    ]);
  });

  it('are paused while a caller does not read, without losing data', async () => {
    const entryWithDefaultLimits = await startTestEntry({ servicePort: service.port });
    const buffersFull = new Promise<void>((resolve) => {
      service.respond = (response) => {
        const part = Buffer.alloc(1_048_576);
        for (let sent = 0; sent < 48; sent += 1) response.write(part);
        response.end();
        // The socket buffers are full once the bytes buffered in this process stop decreasing.
        let bufferedBytes = response.writableLength;
        const check = (): void => {
          if (response.writableLength === bufferedBytes) resolve();
          bufferedBytes = response.writableLength;
        };
        const timer = setInterval(check, 20);
        response.on('close', () => clearInterval(timer));
      };
    });
    const response = await fetch(`${entryWithDefaultLimits.url}/services/booking/bookings/1`, {
      headers: TEST_HEADERS,
    });
    await buffersFull;
    expect((await response.arrayBuffer()).byteLength).toBe(48 * 1_048_576);
    await entryWithDefaultLimits.close();
  });

  it('are paused by a caller that reads nothing, and cancelled when its response is aborted', async () => {
    const part = Buffer.alloc(1_048_576);
    let sentParts = 0;
    const closed = new Promise<boolean>((resolve) => {
      service.respond = (response) => {
        const send = (): void => {
          while (sentParts < 256 && !response.destroyed) {
            sentParts += 1;
            if (!response.write(part)) {
              response.once('drain', send);
              return;
            }
          }
          response.end();
        };
        response.on('close', () => resolve(response.writableFinished));
        send();
      };
    });
    const before = process.memoryUsage.rss();
    const socket = connect(entry.port, '127.0.0.1');
    socket.on('error', () => {});
    const head = Object.entries({ ...TEST_HEADERS, host: 'x' }).map((pair) => pair.join(': '));
    socket.write(['GET /services/booking/bookings/1 HTTP/1.1', ...head, '', ''].join('\r\n'));
    expect(await closed).toBe(false);
    expect(sentParts).toBeLessThan(64);
    expect(process.memoryUsage.rss() - before).toBeLessThan(128 * 1_048_576);
    socket.destroy();
  });
});
