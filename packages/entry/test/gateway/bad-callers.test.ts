import { connect, type Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { startRawServer, startTestGateway, type TestGateway } from '../fixtures/test-gateway.js';

const ANSWER = 'HTTP/1.1 200 OK\r\nX-Receipt: r\r\nContent-Length: 4\r\n\r\ndone';
const HOST = '127.0.0.1';

let gateway: TestGateway;
let runs: string[];
let closeEndpoint = (): void => {};

beforeEach(async () => {
  runs = [];
  const endpoint = await startRawServer((socket) =>
    socket.on('data', (bytes) => {
      runs.push(bytes.toString());
      socket.write(ANSWER);
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

/** Sends bytes as they are, and reads what comes until the connection ends or is quiet. */
const exchange = (bytes: string, quietMs = 300): Promise<string> =>
  new Promise((resolve) => {
    const socket = openConnection();
    let received = '';
    let timer: NodeJS.Timeout;
    const end = (): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(received);
    };
    const arm = (): void => {
      clearTimeout(timer);
      timer = setTimeout(end, quietMs);
    };
    socket.on('data', (chunk) => {
      received += chunk.toString();
      arm();
    });
    socket.on('error', () => {});
    socket.on('close', end);
    socket.write(bytes);
    arm();
  });

const HEAD = 'POST /a HTTP/1.1\r\nHost: shop.example\r\nX-Try: 1\r\n';

describe('a caller that sends what is no proper request', () => {
  it.each([
    ['no HTTP at all', 'what is this\r\n\r\n', /^HTTP\/1\.1 400/],
    [
      'two lengths',
      `${HEAD}Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde`,
      /^HTTP\/1\.1 400/,
    ],
    [
      'a length and chunks',
      `${HEAD}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n`,
      /^HTTP\/1\.1 400/,
    ],
    ['a length that is no number', `${HEAD}Content-Length: 4x\r\n\r\nabcd`, /^HTTP\/1\.1 400/],
    ['a broken chunk', `${HEAD}Transfer-Encoding: chunked\r\n\r\nzz\r\n`, /^HTTP\/1\.1 400/],
    ['a head over the limit', `${HEAD}X-Long: ${'x'.repeat(3_000)}\r\n\r\n`, /^HTTP\/1\.1 431/],
    [
      'a body over the limit',
      `${HEAD}Content-Length: 6000\r\n\r\n${'x'.repeat(6_000)}`,
      /^HTTP\/1\.1 413/,
    ],
  ])('gets a clear error, and nothing runs: %s', async (_name, bytes, expected) => {
    expect(await exchange(bytes)).toMatch(expected);
    expect(runs).toEqual([]);
  });

  it('disturbs no other caller', async () => {
    await exchange('what is this\r\n\r\n');
    expect(await exchange(`${HEAD}Content-Length: 2\r\n\r\nhi`)).toMatch(/^HTTP\/1\.1 200/);
  });
});

describe('a caller that sends its body slowly', () => {
  it('is told that nothing has run once the time that it waits is over', async () => {
    const head = `${HEAD}X-Waits: 100\r\nContent-Length: 4\r\n\r\nab`;
    expect(await exchange(head)).toMatch(/^HTTP\/1\.1 408/);
    expect(runs).toEqual([]);
  });
});

describe('a request that is smuggled inside another', () => {
  it('stays part of the body', async () => {
    const inner = 'GET /inner HTTP/1.1\r\nHost: shop.example\r\n\r\n';
    await exchange(`${HEAD}Content-Length: ${inner.length}\r\n\r\n${inner}`);
    expect(runs).toHaveLength(1);
    expect(runs[0]).toMatch(/^POST \/a HTTP\/1\.1\r\n/);
    expect(runs[0]).toContain(`Content-Length: ${inner.length}\r\n`);
  });

  it('in chunks goes on with one length', async () => {
    await exchange(`${HEAD}Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n`);
    expect(runs[0]).toContain('Content-Length: 2\r\n');
    expect(runs[0]).not.toMatch(/transfer-encoding/i);
  });
});

describe('headers of one connection', () => {
  it('go no further, nor do those that the connection names', async () => {
    await exchange(`${HEAD}Connection: close, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\n\r\n`);
    expect(runs).toHaveLength(1);
    expect(runs[0]).not.toMatch(/x-hop|^te:/im);
    expect(runs[0]).toMatch(/x-try: 1/i);
  });
});

describe('a slow caller', () => {
  it('that does not end its head is cut off after the time that it has', async () => {
    const startedMs = performance.now();
    const answer = await exchange('POST /a HTTP/1.1\r\nHost: shop', 5_000);
    expect(answer).toMatch(/^(HTTP\/1\.1 (400|408)|$)/);
    // Looked for once a second.
    expect(performance.now() - startedMs).toBeLessThan(4_000);
  });
});
