import { request } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { startEndlessEndpoint, type EndlessEndpoint } from '../fixtures/endless-endpoint.js';
import { runAttempt } from '../fixtures/test-attempt.js';
import { startRawServer } from '../fixtures/test-gateway.js';
import { ConnectionPools } from '../../src/gateway/endpoints/connection-pools.js';

const COMPLETE = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';

let endpoint: EndlessEndpoint | undefined;
const pools = new ConnectionPools();

afterEach(() => {
  endpoint?.close();
  pools.stop();
});

describe('bytes after a complete response', () => {
  it.each([
    ['that are not HTTP', 'what is this', undefined],
    ['that are empty lines', '\r\n', undefined],
    ['one at a time', 'a', 50],
  ])('do not invalidate it, and close the connection: %s', async (_name, part, pauseMs) => {
    endpoint = await startEndlessEndpoint({ head: COMPLETE, part, pauseMs });
    const { end, forwardedBytes } = await runAttempt(endpoint.port, pools);
    expect(end.kind).toBe('attempt.ended');
    expect(forwardedBytes).toBe(2);
    await vi.waitFor(() => expect(endpoint?.countOpenSockets()).toBe(0), 1_000);
  });

  it('do not invalidate a response in the same segment', async () => {
    const server = await startRawServer((socket) =>
      socket.on('data', () => socket.write(`${COMPLETE}what is this`)),
    );
    const { end } = await runAttempt(server.port, pools);
    expect(end.kind).toBe('attempt.ended');
    server.close();
  });

  it('do not reach the next request', async () => {
    const server = await startRawServer((socket) =>
      socket.on('data', () => {
        socket.write(COMPLETE);
        setTimeout(() => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n'), 5);
      }),
    );
    for (let count = 0; count < 3; count += 1) {
      const { end, forwardedBytes } = await runAttempt(server.port, pools);
      expect([end.kind, forwardedBytes]).toEqual(['attempt.ended', 2]);
      await delay(20);
    }
    server.close();
  });

  it('leave no closed connection for the next request', async () => {
    const agent = pools.find('endpoint-x', 'kept');
    const server = await startRawServer((socket) =>
      socket.on('data', () => socket.write(COMPLETE)),
    );
    const call = (): Promise<Socket> =>
      new Promise((resolve) => {
        request({ host: '127.0.0.1', port: server.port, agent }, (response) => {
          response.resume();
          agent.once('free', resolve);
        }).end();
      });
    await Promise.all([call(), call()]);
    await vi.waitFor(() => expect(Object.values(agent.freeSockets).flat()).toHaveLength(2));
    const newest = Object.values(agent.freeSockets).flat().at(-1);
    newest?.emit('data', Buffer.from('a'));
    expect(newest?.destroyed).toBe(true);
    expect(Object.values(agent.freeSockets).flat()).not.toContain(newest);
    server.close();
  });
});
