import { connect, type Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { startTestEngine, type TestEngine } from './fixtures/test-engine.js';
import {
  startTestEntry,
  TEST_HEADERS,
  type TestEntry,
  type TestEntryOptions,
} from './fixtures/test-entry.js';

const openStream = (port: number): Socket => {
  const body = JSON.stringify({
    model: 'assistant',
    stream: true,
    messages: [{ role: 'user', content: 'hello' }],
  });
  const head = Object.entries({ ...TEST_HEADERS, host: 'x', 'content-length': body.length });
  const lines = head.map((pair) => pair.join(': '));
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => {});
  socket.write(['POST /v1/chat/completions HTTP/1.1', ...lines, '', body].join('\r\n'));
  return socket;
};

const readGauge = (entry: TestEntry, metric: string): number =>
  Number(new RegExp(`^${metric} (\\d+)$`, 'm').exec(entry.entry.renderMetrics())?.[1]);

describe('a caller of a streamed response', () => {
  let engine: TestEngine;
  let entry: TestEntry;

  const start = async (limits: TestEntryOptions['limits'] = {}): Promise<void> => {
    engine = await startTestEngine();
    entry = await startTestEntry({ enginePort: engine.port, limits });
  };

  afterEach(async () => {
    await entry.close();
    await engine.close();
  });

  it('that disconnects has its stream cancelled at the engine and its request removed', async () => {
    await start();
    const socket = openStream(entry.port);
    const stream = await engine.streams.take();
    stream.send('hello');
    await new Promise((resolve) => {
      socket.once('data', resolve);
    });
    socket.destroy();
    expect(await engine.cancelled.take()).toBe(stream.streamRequest.streamId);
    expect(readGauge(entry, 'savorywind_requests_in_flight')).toBe(0);
    expect(entry.entry.renderMetrics()).toContain('outcome="abandoned"} 1');
  });

  it('that resets the connection has its stream cancelled as well', async () => {
    await start();
    const socket = openStream(entry.port);
    const stream = await engine.streams.take();
    socket.resetAndDestroy();
    expect(await engine.cancelled.take()).toBe(stream.streamRequest.streamId);
  });

  it('that reads too slowly has its response aborted at the buffer limit and its stream cancelled', async () => {
    await start({ maxOutputBytes: 65_536 });
    const socket = openStream(entry.port);
    socket.pause();
    const stream = await engine.streams.take();
    const cancelled = engine.cancelled.take();
    let isCancelled = false;
    cancelled.then(() => {
      isCancelled = true;
    });
    const text = 'x'.repeat(16_384);
    let sent = 0;
    while (!isCancelled && sent < 8_192) {
      stream.send(text);
      sent += 1;
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    expect(await cancelled).toBe(stream.streamRequest.streamId);
    expect(sent).toBeLessThan(8_192);
    expect(readGauge(entry, 'savorywind_requests_in_flight')).toBe(0);
    socket.destroy();
  });

  it('that reads nothing has its response aborted after the stall time, before the deadline', async () => {
    await start({ maxOutputBytes: 1_073_741_824, callerStallMs: 50 });
    const socket = openStream(entry.port);
    socket.pause();
    const stream = await engine.streams.take();
    const cancelled = engine.cancelled.take();
    // Exceeds the buffers of both sockets.
    for (let index = 0; index < 512; index += 1) stream.send('x'.repeat(32_768));
    expect(await cancelled).toBe(stream.streamRequest.streamId);
    socket.destroy();
  });
});
