import { afterEach, describe, expect, it } from 'vitest';
import { startEntryChild, type EntryChild } from './fixtures/entry-child.js';
import { startTestEngine, type TestEngine } from './fixtures/test-engine.js';
import {
  createTestSettings,
  startTestPlatform,
  TEST_HEADERS,
  waitReadiness,
  type TestEntryOptions,
} from './fixtures/test-entry.js';

const chat = JSON.stringify({
  model: 'assistant',
  stream: true,
  messages: [{ role: 'user', content: 'hello' }],
});

const openChat = (url: string): Promise<Response> =>
  fetch(`${url}/v1/chat/completions`, { method: 'POST', headers: TEST_HEADERS, body: chat });

/** Sends chat requests until one is refused with status 503; accepted ones are cancelled. */
const waitRefusal = async (url: string): Promise<string> => {
  for (;;) {
    const response = await openChat(url);
    if (response.status === 503) return response.text();
    await response.body?.cancel();
  }
};

describe('an entry VM in a child process that receives SIGTERM', () => {
  let entry: EntryChild;
  let engine: TestEngine;
  let closePlatform: () => Promise<void>;

  const start = async (limits: TestEntryOptions['limits'] = {}): Promise<void> => {
    engine = await startTestEngine();
    const platform = await startTestPlatform({ enginePort: engine.port });
    closePlatform = () => platform.close();
    entry = await startEntryChild(createTestSettings(platform.port, { limits, logLevel: 'info' }));
    await waitReadiness(entry.url, 'ready');
  };

  afterEach(async () => {
    entry.child.kill('SIGKILL');
    await Promise.all([engine.close(), closePlatform()]);
  });

  it('stays live, refuses new requests as not run, and completes a running stream', async () => {
    await start();
    const response = await openChat(entry.url);
    const stream = await engine.streams.take();
    stream.send('before ');
    entry.child.kill('SIGTERM');
    await waitReadiness(entry.url, 'leaving');
    expect((await fetch(`${entry.url}/healthz/ready`)).status).toBe(503);
    expect((await fetch(`${entry.url}/healthz/live`)).status).toBe(200);
    const refusal = JSON.parse(await waitRefusal(entry.url)) as object;
    expect(refusal).toMatchObject({ error: { code: 2005, ran: 'no' } });
    // The engine sends the rest of the stream only after the refusal.
    for (let index = 0; index < 1_000; index += 1) stream.send(`${index} `);
    stream.end();
    const text = await response.text();
    expect(text).toContain('"before "');
    expect(text).toContain('"999 "');
    expect(text.trimEnd().endsWith('data: [DONE]')).toBe(true);
    expect(await entry.exited).toBe(0);
  });

  it('serves requests that arrive before drainNoticeMs has passed', async () => {
    await start({ drainNoticeMs: 600_000 });
    entry.child.kill('SIGTERM');
    await waitReadiness(entry.url, 'leaving');
    const response = await openChat(entry.url);
    const stream = await engine.streams.take();
    stream.send('served');
    stream.end();
    expect(response.status).toBe(200);
    expect(response.headers.get('connection')).toBe('close');
    expect((await response.text()).trimEnd().endsWith('data: [DONE]')).toBe(true);
  });

  it('waits for a caller that has not read its complete response', async () => {
    await start({ maxOutputBytes: 67_108_864, callerStallMs: 600_000 });
    const response = await openChat(entry.url);
    const stream = await engine.streams.take();
    for (let index = 0; index < 20_000; index += 1) stream.send('x'.repeat(100));
    stream.end();
    entry.child.kill('SIGTERM');
    const text = await response.text();
    expect(text.match(/x{100}/g)).toHaveLength(20_000);
    expect(text.trimEnd().endsWith('data: [DONE]')).toBe(true);
    expect(await entry.exited).toBe(0);
  });
});
