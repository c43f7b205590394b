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
    service.answer = (response) => response.end('ok');
  });

  afterAll(async () => {
    await entry.close();
    await service.close();
  });

  it('get method, path, query, headers and body unchanged, but for what concerns one hop', async () => {
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

  it('have their status, headers and body passed on, with the request id', async () => {
    service.answer = (response) => {
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

  it('have their bodies passed on as they come', async () => {
    let goOn: () => void = () => {};
    service.answer = (response) => {
      response.write('first ');
      goOn = () => response.end('second');
    };
    const response = await fetch(`${entry.url}/services/booking/bookings/1`, {
      headers: TEST_HEADERS,
    });
    const reader = response.body!.pipeThrough(new TextDecoderStream()).getReader();
    expect((await reader.read()).value).toBe('first ');
    goOn();
    expect((await reader.read()).value).toBe('second');
    expect((await reader.read()).done).toBe(true);
  });

  it('see one request where a body comes with a method that has none as a rule', async () => {
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

  it('are held back by a caller that reads later, and lose no byte', async () => {
    const patient = await startTestEntry({ servicePort: service.port });
    const full = new Promise<void>((resolve) => {
      service.answer = (response) => {
        const part = Buffer.alloc(1_048_576);
        for (let sent = 0; sent < 48; sent += 1) response.write(part);
        response.end();
        // What the sockets hold has gone out once the rest no longer gets smaller.
        let waiting = response.writableLength;
        const check = (): void => {
          if (response.writableLength === waiting) resolve();
          waiting = response.writableLength;
        };
        const timer = setInterval(check, 20);
        response.on('close', () => clearInterval(timer));
      };
    });
    const response = await fetch(`${patient.url}/services/booking/bookings/1`, {
      headers: TEST_HEADERS,
    });
    await full;
    expect((await response.arrayBuffer()).byteLength).toBe(48 * 1_048_576);
    await patient.close();
  });

  it('are held back by a caller that reads nothing, and let go when it is given up', async () => {
    const part = Buffer.alloc(1_048_576);
    let sentParts = 0;
    const closed = new Promise<boolean>((resolve) => {
      service.answer = (response) => {
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
