import { setTimeout as delay } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { startRawServer } from '../fixtures/test-gateway.js';
import { runAttempt } from '../fixtures/test-attempt.js';
import { ConnectionPools } from '../../src/gateway/endpoints/connection-pools.js';

const ATTEMPTS = 20;

/** Chunks of one byte that each endpoint sends before it pauses. */
const CHUNKS = 60_000;

/** Memory that 20 such attempts may take together, in bytes. */
const MAX_MEMORY_BYTES = 30_000_000;

const pools = new ConnectionPools();

afterEach(() => pools.stop());

const measureMemory = (): number => {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
};

/** Measures the memory that unfinished bodies in chunks of one byte take, in bytes. */
const measureTinyChunks = async (
  type: string,
  delivery: 'whole' | 'events',
  chunk: string,
): Promise<number> => {
  const chunks = Buffer.from(chunk.repeat(CHUNKS));
  let sent = 0;
  const server = await startRawServer((socket) =>
    socket.once('data', () => {
      const head = `Content-Type: ${type}\r\nTransfer-Encoding: chunked`;
      socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n\r\n`);
      socket.write(chunks, () => {
        sent += 1;
      });
    }),
  );
  const before = measureMemory();
  const attempts = Array.from({ length: ATTEMPTS }, () => runAttempt(server.port, pools, delivery));
  await vi.waitFor(() => expect(sent).toBe(ATTEMPTS), 60_000);
  await delay(500);
  const used = measureMemory() - before;
  server.close();
  await Promise.all(attempts);
  return used;
};

describe('bodies that arrive in chunks of one byte', () => {
  it.each([
    ['of a response that is buffered', 'text/plain', 'whole', '1\r\na\r\n'],
    ['of an event that is not complete', 'text/event-stream', 'events', '1\r\na\r\n'],
  ] as const)('take little memory: %s', async (_name, type, delivery, chunk) => {
    expect(await measureTinyChunks(type, delivery, chunk)).toBeLessThan(MAX_MEMORY_BYTES);
  });
});
