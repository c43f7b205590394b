import { afterEach, describe, expect, it, vi } from 'vitest';
import { startEndlessEndpoint, type EndlessEndpoint } from '../fixtures/endless-endpoint.js';
import { runAttempt } from '../fixtures/test-attempt.js';
import { startRawServer } from '../fixtures/test-gateway.js';
import { ConnectionPools } from '../../src/gateway/endpoints/connection-pools.js';

const REJECTION = 'HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n';

let endpoint: EndlessEndpoint | undefined;
const pools = new ConnectionPools();

afterEach(() => {
  endpoint?.close();
  pools.stop();
});

describe('a rejection whose body never ends', () => {
  it.each([
    ['without a length', `${REJECTION}\r\n`, 'a', undefined],
    ['in chunks', `${REJECTION}Transfer-Encoding: chunked\r\n\r\n`, '1\r\na\r\n', undefined],
    ['one byte at a time', `${REJECTION}\r\n`, 'a', 50],
  ])('still counts, and has its connection closed: %s', async (_name, head, part, pauseMs) => {
    endpoint = await startEndlessEndpoint({ head, part, pauseMs });
    const { end } = await runAttempt(endpoint.port, pools);
    expect(end).toMatchObject({ kind: 'attempt.failed', failure: 'rejected' });
    await vi.waitFor(() => expect(endpoint?.countOpenSockets()).toBe(0), 3_000);
  });

  it('is not confused with one that ends, whose connection is used again', async () => {
    let connections = 0;
    const body = 'a'.repeat(20_000);
    const server = await startRawServer((socket) => {
      connections += 1;
      socket.on('data', () =>
        socket.write(`${REJECTION}Content-Length: ${body.length}\r\n\r\n${body}`),
      );
    });
    const { end } = await runAttempt(server.port, pools);
    expect(end).toMatchObject({ failure: 'rejected' });
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
    await runAttempt(server.port, pools);
    expect(connections).toBe(1);
    server.close();
  });
});

describe('a response that is dropped', () => {
  it('has its connection closed', async () => {
    const head = 'HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n\r\n';
    endpoint = await startEndlessEndpoint({ head, part: 'a' });
    const { end } = await runAttempt(endpoint.port, pools);
    expect(end).toMatchObject({ kind: 'attempt.failed', failure: 'invalid' });
    await vi.waitFor(() => expect(endpoint?.countOpenSockets()).toBe(0), 1_000);
  });
});
