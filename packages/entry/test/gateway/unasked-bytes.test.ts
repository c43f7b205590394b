import { afterEach, describe, expect, it } from 'vitest';
import { runAttempt } from '../fixtures/test-attempt.js';
import { startRawServer } from '../fixtures/test-gateway.js';
import { ConnectionPools } from '../../src/gateway/endpoints/connection-pools.js';

const COMPLETE = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';

const pools = new ConnectionPools();

afterEach(() => pools.stop());

describe('bytes after a complete response', () => {
  it('do not invalidate a response in the same segment', async () => {
    const server = await startRawServer((socket) =>
      socket.on('data', () => socket.write(`${COMPLETE}what is this`)),
    );
    const { end } = await runAttempt(server.port, pools);
    expect(end.kind).toBe('attempt.ended');
    server.close();
  });
});
