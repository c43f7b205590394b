import { connect, type Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { startRawServer, startTestGateway, type TestGateway } from '../fixtures/test-gateway.js';

const RESPONSE = 'HTTP/1.1 200 OK\r\nX-Receipt: r\r\nContent-Length: 4\r\n\r\ndone';
const HOST = '127.0.0.1';

let gateway: TestGateway;
let runs: string[];
let closeEndpoint = (): void => {};

beforeEach(async () => {
  runs = [];
  const endpoint = await startRawServer((socket) =>
    socket.on('data', (bytes) => {
      runs.push(bytes.toString());
      socket.write(RESPONSE);
    }),
  );
  closeEndpoint = endpoint.close;
  const callerLimits = {
    maxHeaderBytes: 2_000,
    maxBodyBytes: 5_000,
    headerTimeoutMs: 1_000,
    idleTimeoutMs: 3_000,
  };
  gateway = await startTestGateway([endpoint.port], { callerLimits });
});

afterEach(() => {
  gateway.process.stopImmediately();
  closeEndpoint();
});

const openConnection = (): Socket => connect(gateway.port, HOST);

/** Sends bytes unchanged, and reads until the connection ends or `idleMs` pass without data. */
const sendBytes = (bytes: string, idleMs = 300): Promise<string> =>
  new Promise((resolve) => {
    const socket = openConnection();
    let received = '';
    let timer: NodeJS.Timeout;
    const finish = (): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(received);
    };
    const startTimer = (): void => {
      clearTimeout(timer);
      timer = setTimeout(finish, idleMs);
    };
    socket.on('data', (chunk) => {
      received += chunk.toString();
      startTimer();
    });
    socket.on('error', () => {});
    socket.on('close', finish);
    socket.write(bytes);
    startTimer();
  });

const HEAD = 'POST /a HTTP/1.1\r\nHost: shop.example\r\nX-Try: 1\r\n';

const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n';

describe('a caller that sends an invalid request', () => {
  it.each([
    ['bytes that are not HTTP', 'what is this\r\n\r\n', /^HTTP\/1\.1 400/],
    [
      'two Content-Length headers',
      `${HEAD}Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde`,
      /^HTTP\/1\.1 400/,
    ],
    [
      'both Content-Length and Transfer-Encoding',
      `${HEAD}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n`,
      /^HTTP\/1\.1 400/,
    ],
    [
      'a Content-Length that is not a number',
      `${HEAD}Content-Length: 4x\r\n\r\nabcd`,
      /^HTTP\/1\.1 400/,
    ],
    ['an invalid chunk', `${HEAD}Transfer-Encoding: chunked\r\n\r\nzz\r\n`, /^HTTP\/1\.1 400/],
    ['a head over the limit', `${HEAD}X-Long: ${'x'.repeat(3_000)}\r\n\r\n`, /^HTTP\/1\.1 431/],
    [
      'trailers over the limit for heads',
      `${HEAD}${CHUNKED}0\r\n${'a:b\r\n'.repeat(600)}\r\n`,
      /^HTTP\/1\.1 431/,
    ],
    [
      'trailers over the limit for heads without an end',
      `${HEAD}${CHUNKED}0\r\n${'a:b\r\n'.repeat(600)}`,
      /^HTTP\/1\.1 431/,
    ],
    [
      'a body over the limit',
      `${HEAD}Content-Length: 6000\r\n\r\n${'x'.repeat(6_000)}`,
      /^HTTP\/1\.1 413/,
    ],
  ])('receives an error status, and nothing runs: %s', async (_name, bytes, expected) => {
    expect(await sendBytes(bytes)).toMatch(expected);
    expect(runs).toEqual([]);
  });

  it('does not affect other callers', async () => {
    await sendBytes('what is this\r\n\r\n');
    expect(await sendBytes(`${HEAD}Content-Length: 2\r\n\r\nhi`)).toMatch(/^HTTP\/1\.1 200/);
  });
});

describe('a caller that sends its body slowly', () => {
  it('receives 408, which says that nothing has run, once its deadline has passed', async () => {
    const head = `${HEAD}X-Waits: 100\r\nContent-Length: 4\r\n\r\nab`;
    expect(await sendBytes(head)).toMatch(/^HTTP\/1\.1 408/);
    expect(runs).toEqual([]);
  });
});

describe('a request smuggled inside another', () => {
  it('stays part of the body', async () => {
    const inner = 'GET /inner HTTP/1.1\r\nHost: shop.example\r\n\r\n';
    await sendBytes(`${HEAD}Content-Length: ${inner.length}\r\n\r\n${inner}`);
    expect(runs).toHaveLength(1);
    expect(runs[0]).toMatch(/^POST \/a HTTP\/1\.1\r\n/);
    expect(runs[0]).toContain(`Content-Length: ${inner.length}\r\n`);
  });

  it('is forwarded with one Content-Length if it was sent in chunks', async () => {
    await sendBytes(`${HEAD}Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n`);
    expect(runs[0]).toContain('Content-Length: 2\r\n');
    expect(runs[0]).not.toMatch(/transfer-encoding/i);
  });
});

describe('trailers within the limit for heads', () => {
  it('are taken, and not passed on', async () => {
    const trailers = 'x-trailer:b\r\n'.repeat(100);
    const answer = await sendBytes(`${HEAD}${CHUNKED}0\r\n${trailers}\r\n`);
    expect(answer).toMatch(/^HTTP\/1\.1 200/);
    expect(runs.join('')).not.toContain('x-trailer');
  });
});

describe('hop-by-hop headers', () => {
  it('are not forwarded, including those that Connection names', async () => {
    await sendBytes(`${HEAD}Connection: close, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\n\r\n`);
    expect(runs).toHaveLength(1);
    expect(runs[0]).not.toMatch(/x-hop|^te:/im);
    expect(runs[0]).toMatch(/x-try: 1/i);
  });
});

describe('a slow caller', () => {
  it('that does not finish its head is disconnected after the header timeout', async () => {
    const startedMs = performance.now();
    const response = await sendBytes('POST /a HTTP/1.1\r\nHost: shop', 5_000);
    expect(response).toMatch(/^(HTTP\/1\.1 (400|408)|$)/);
    // Header timeouts are checked once per second.
    expect(performance.now() - startedMs).toBeLessThan(4_000);
  });
});
