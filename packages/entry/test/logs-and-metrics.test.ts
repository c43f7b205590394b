import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { ModelContract } from '@savorywind/model';
import { renderMetricsText } from '../src/observe/render-metrics.js';
import { RequestMeasurement } from '../src/observe/request-measurement.js';
import { MAX_SERIES, RequestMetrics } from '../src/observe/request-metrics.js';
import { startEntryChild, type EntryChild } from './fixtures/entry-child.js';
import { startTestEngine } from './fixtures/test-engine.js';
import {
  createTestSettings,
  startTestPlatform,
  TEST_CREDENTIAL,
  TEST_HEADERS,
  waitReadiness,
} from './fixtures/test-entry.js';
import { startTestService } from './fixtures/test-service.js';

/** Texts that must never appear in the log. */
const PROMPT_TEXT = 'canary-prompt-text';
const ANSWER_TEXT = 'canary-answer-text';
const WRONG_CREDENTIAL = 'canary-wrong-credential';

const createContract = (overrides: Partial<ModelContract>): ModelContract => ({
  kind: 'model',
  requestId: 'request-1',
  team: 'counter',
  timeoutMs: 10_000,
  digest: 'digest-1',
  model: 'assistant',
  promptTokens: 1_000,
  maxOutputTokens: 4,
  prefixDigests: [],
  ...overrides,
});

const post = (entry: EntryChild, path: string, body: string, headers = {}): Promise<string> =>
  fetch(`${entry.url}${path}`, {
    method: 'POST',
    headers: { ...TEST_HEADERS, ...headers },
    body,
  }).then((response) => response.text());

describe('logs', () => {
  it('contain no prompt, no answer and no credential at the debug level', async () => {
    const engine = await startTestEngine();
    const service = await startTestService();
    service.respond = (response) => response.end(ANSWER_TEXT);
    const options = { enginePort: engine.port, servicePort: service.port };
    const platform = await startTestPlatform(options);
    const entry = await startEntryChild(createTestSettings(platform.port, { logLevel: 'debug' }));
    await waitReadiness(entry.url, 'ready');
    const chat = JSON.stringify({
      model: 'assistant',
      messages: [{ role: 'user', content: PROMPT_TEXT }],
    });
    const answered = post(entry, '/v1/chat/completions', chat);
    const stream = await engine.streams.take();
    stream.send(ANSWER_TEXT);
    stream.end();
    expect(await answered).toContain(ANSWER_TEXT);
    await post(entry, `/services/booking/${PROMPT_TEXT}?q=${PROMPT_TEXT}`, PROMPT_TEXT, {
      'idempotency-key': PROMPT_TEXT,
    });
    await post(
      entry,
      '/v1/chat/completions',
      `{"model":"${PROMPT_TEXT}","messages":"${PROMPT_TEXT}"}`,
    );
    await post(entry, `/${PROMPT_TEXT}`, chat);
    await post(entry, '/v1/chat/completions', chat, {
      authorization: `Bearer ${WRONG_CREDENTIAL}`,
    });
    await post(entry, '/v1/chat/completions', chat, { 'x-request-timeout': PROMPT_TEXT });
    entry.child.kill('SIGTERM');
    await entry.exited;
    await Promise.all([engine.close(), service.close(), platform.close()]);
    const text = entry.lines.join('\n');
    ['requestFinished', 'requestRejected', 'processStopped'].forEach((name) =>
      expect(text).toContain(`"name":"${name}"`),
    );
    [PROMPT_TEXT, ANSWER_TEXT, WRONG_CREDENTIAL, TEST_CREDENTIAL].forEach((secret) =>
      expect(text).not.toContain(secret),
    );
    entry.lines.forEach((line) =>
      expect(JSON.parse(line)).toMatchObject({
        event: expect.any(Number),
        name: expect.any(String),
        vm: 'entry-a1',
      }),
    );
  });

  it('do not block requests if nothing reads them', async () => {
    const platform = await startTestPlatform({});
    const entry = await startEntryChild(createTestSettings(platform.port, { logLevel: 'info' }));
    await waitReadiness(entry.url, 'ready');
    entry.child.stdout?.pause();
    // Each refusal writes a line; together the lines exceed the capacity of a pipe.
    for (let sent = 0; sent < 3_000; sent += 1) {
      expect(await post(entry, '/nowhere', '')).toContain('unknownRoute');
    }
    entry.child.kill('SIGKILL');
    await platform.close();
  });
});

describe('metrics', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['performance'] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  const measureRequest = (metrics: RequestMetrics, promptTokens: number): RequestMeasurement =>
    new RequestMeasurement(metrics, createContract({ promptTokens }));

  const engine = {
    kind: 'engine',
    prefillTokensPerS: 1_000,
    decodeTokensPerS: 100,
  } as Parameters<RequestMeasurement['recordAttempt']>[0];

  it('record queueing, first token, gaps, total and slowdown per team, class and band', () => {
    const metrics = new RequestMetrics();
    const measure = measureRequest(metrics, 1_000);
    vi.advanceTimersByTime(200);
    measure.recordAttempt(engine);
    vi.advanceTimersByTime(1_000);
    measure.recordChunk();
    vi.advanceTimersByTime(20);
    measure.recordChunk();
    vi.advanceTimersByTime(820);
    measure.recordFinish();
    const text = renderMetricsText(metrics, []);
    const labels = 'team="counter",class="assistant",band="1k"';
    const readCount = (metric: string, bound: string): string | undefined =>
      text.split('\n').find((line) => line.startsWith(`${metric}_bucket{${labels},le="${bound}"}`));
    expect(readCount('savorywind_queueing_seconds', '0.1')).toMatch(/ 0$/);
    expect(readCount('savorywind_queueing_seconds', '0.25')).toMatch(/ 1$/);
    expect(readCount('savorywind_first_token_seconds', '1')).toMatch(/ 0$/);
    expect(readCount('savorywind_first_token_seconds', '2.5')).toMatch(/ 1$/);
    expect(readCount('savorywind_between_tokens_seconds', '0.032')).toMatch(/ 1$/);
    expect(readCount('savorywind_total_seconds', '2.5')).toMatch(/ 1$/);
    // 2.04 s in total; an idle engine takes 1.02 s.
    expect(readCount('savorywind_slowdown_ratio', '1.5')).toMatch(/ 0$/);
    expect(readCount('savorywind_slowdown_ratio', '3')).toMatch(/ 1$/);
    expect(text).toContain(`savorywind_requests_total{${labels},outcome="finished"} 1`);
  });

  it('group prompt lengths by powers of ten', () => {
    const metrics = new RequestMetrics();
    [1, 1_000, 1_001, 100_000, 1_000_000, 1_000_001].forEach((tokens) =>
      measureRequest(metrics, tokens),
    );
    expect(metrics.listSeries().map(({ labels }) => labels.band)).toEqual([
      '1k',
      '10k',
      '100k',
      '1M',
      'over1M',
    ]);
  });

  it('have a bounded number of series for any number of teams, and count every request', () => {
    const metrics = new RequestMetrics();
    for (let index = 0; index < 5_000; index += 1) {
      const contract = createContract({ team: `team-${index}` });
      new RequestMeasurement(metrics, contract).recordFinish();
    }
    expect(metrics.listSeries()).toHaveLength(MAX_SERIES);
    const counts = metrics.listSeries().map(({ outcomes }) => outcomes.get('finished') ?? 0);
    expect(counts.reduce((sum, count) => sum + count, 0)).toBe(5_000);
  });

  it('escape special characters in label values', () => {
    const metrics = new RequestMetrics();
    new RequestMeasurement(metrics, createContract({ team: 'a"\\\nb' })).recordAbandonment();
    expect(renderMetricsText(metrics, [])).toContain('team="a\\"\\\\\\nb"');
  });
});
