import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { startTestEngine, type TestEngine } from './fixtures/test-engine.js';
import { startTestEntry, TEST_HEADERS, type TestEntry } from './fixtures/test-entry.js';
import { startTestService, type TestService } from './fixtures/test-service.js';

interface BadRequest {
  readonly name: string;
  readonly path?: string;
  readonly method?: string;
  readonly headers?: Record<string, string>;
  readonly body?: string | Uint8Array | object;
  readonly expected: readonly [status: number, code: number];
  readonly retryAfter?: string;
}

const CHAT = '/v1/chat/completions';
const TEXT = '/v1/completions';
const SERVICE = '/services/booking/bookings/1';
const messages = [{ role: 'user', content: 'hello' }];
const chat = { model: 'assistant', messages };
const createNestedArray = (depth: number): string => `${'['.repeat(depth)}${']'.repeat(depth)}`;

const badRequests: readonly BadRequest[] = [
  { name: 'malformed JSON', body: '{"model":', expected: [400, 1001] },
  { name: 'an empty body', body: '', expected: [400, 1001] },
  { name: 'a byte order mark', body: `\uFEFF${JSON.stringify(chat)}`, expected: [400, 1001] },
  { name: 'JSON of the wrong type', body: '[]', expected: [400, 1002] },
  { name: 'no messages', body: { model: 'assistant' }, expected: [400, 1002] },
  { name: 'empty messages', body: { model: 'assistant', messages: [] }, expected: [400, 1002] },
  {
    name: 'an unknown role',
    body: { ...chat, messages: [{ role: 'x', content: '' }] },
    expected: [400, 1002],
  },
  {
    name: 'an image content part',
    body: { ...chat, messages: [{ role: 'user', content: [{ type: 'image_url' }] }] },
    expected: [400, 1002],
  },
  { name: 'max_tokens as a string', body: { ...chat, max_tokens: 'many' }, expected: [400, 1002] },
  { name: 'max_tokens of 0', body: { ...chat, max_tokens: 0 }, expected: [400, 1002] },
  {
    name: 'max_tokens over the limit of the model',
    body: { ...chat, max_tokens: 100_001 },
    expected: [400, 1002],
  },
  { name: 'more than one choice', body: { ...chat, n: 2 }, expected: [400, 1019] },
  { name: 'log probabilities', body: { ...chat, logprobs: true }, expected: [400, 1019] },
  {
    name: 'stream options without a stream',
    body: { ...chat, stream_options: {} },
    expected: [400, 1019],
  },
  {
    name: 'the echo option',
    path: TEXT,
    body: { model: 'assistant', prompt: 'a', echo: true },
    expected: [400, 1019],
  },
  { name: 'no prompt', path: TEXT, body: { model: 'assistant' }, expected: [400, 1002] },
  {
    name: 'two prompts',
    path: TEXT,
    body: { model: 'assistant', prompt: ['a', 'b'] },
    expected: [400, 1002],
  },
  { name: 'an unknown model', body: { ...chat, model: '__proto__' }, expected: [404, 1003] },
  { name: 'an unknown service', path: '/services/payroll/x', expected: [404, 1004] },
  { name: 'no credential', headers: { authorization: '' }, body: chat, expected: [401, 1006] },
  {
    name: 'a wrong credential',
    headers: { authorization: 'Bearer nobody' },
    body: chat,
    expected: [401, 1006],
  },
  {
    name: 'an unsupported authentication scheme',
    headers: { authorization: 'Basic dGVzdA==' },
    body: chat,
    expected: [401, 1006],
  },
  { name: 'an unknown path', path: '/v2/chat', expected: [404, 1007] },
  {
    name: 'a path named like an inherited object property',
    path: '/constructor',
    expected: [404, 1007],
  },
  { name: 'an unsupported method', method: 'DELETE', expected: [405, 1017] },
  { name: 'a body over the limit', body: 'x'.repeat(40_000), expected: [413, 1008] },
  {
    name: 'a prompt that exceeds the memory of every engine',
    body: {
      ...chat,
      max_tokens: 100_000,
      messages: Array(20).fill({ role: 'user', content: 'y' }),
    },
    headers: { 'x-too-long': '1' },
    expected: [422, 2004],
  },
  { name: 'invalid UTF-8', body: new Uint8Array([0x22, 0xff, 0xfe, 0x22]), expected: [400, 1009] },
  {
    name: 'a lone surrogate in UTF-8',
    body: new Uint8Array([0x22, 0xed, 0xa0, 0x80, 0x22]),
    expected: [400, 1009],
  },
  { name: 'arrays nested one level too deep', body: createNestedArray(65), expected: [400, 1010] },
  { name: 'arrays nested very deep', body: createNestedArray(15_000), expected: [400, 1010] },
  {
    name: 'a timeout of 0',
    headers: { 'x-request-timeout': '0' },
    body: chat,
    expected: [400, 1012],
  },
  {
    name: 'a negative timeout',
    headers: { 'x-request-timeout': '-1' },
    body: chat,
    expected: [400, 1012],
  },
  {
    name: 'a timeout that is not a number',
    headers: { 'x-request-timeout': 'soon' },
    body: chat,
    expected: [400, 1012],
  },
  {
    name: 'a timeout in exponent notation',
    headers: { 'x-request-timeout': '1e3' },
    body: chat,
    expected: [400, 1012],
  },
  {
    name: 'a timeout over the limit',
    headers: { 'x-request-timeout': '99999999' },
    body: chat,
    expected: [400, 1012],
  },
  {
    name: 'an empty timeout',
    headers: { 'x-request-timeout': '' },
    body: chat,
    expected: [400, 1012],
  },
  {
    name: 'an empty idempotency key',
    path: SERVICE,
    method: 'POST',
    headers: { 'idempotency-key': '' },
    expected: [400, 1013],
  },
  {
    name: 'an idempotency key of 256 characters',
    path: SERVICE,
    method: 'POST',
    headers: { 'idempotency-key': 'k'.repeat(256) },
    expected: [400, 1013],
  },
  {
    name: 'an idempotency key with a space',
    path: SERVICE,
    method: 'POST',
    headers: { 'idempotency-key': 'a b' },
    expected: [400, 1013],
  },
  {
    name: 'an encoded slash',
    path: '/services/booking/bookings/..%2fpayments',
    expected: [400, 1018],
  },
  { name: 'an empty segment', path: '/services/booking//bookings', expected: [400, 1018] },
  {
    name: 'headers over the limit',
    headers: { 'x-long': 'h'.repeat(20_000) },
    body: chat,
    expected: [431, 1015],
  },
];

const encodeBody = (body: BadRequest['body']): string | Uint8Array =>
  typeof body === 'string' || body instanceof Uint8Array ? body : JSON.stringify(body);

describe('bad input', () => {
  let engine: TestEngine;
  let service: TestService;
  let entry: TestEntry;

  beforeAll(async () => {
    engine = await startTestEngine();
    service = await startTestService();
    entry = await startTestEntry({
      enginePort: engine.port,
      servicePort: service.port,
      limits: { maxBodyBytes: 32_768 },
      engineMemoryTokens: 100_000,
    });
  });

  afterAll(async () => {
    await entry.close();
    await Promise.all([engine.close(), service.close()]);
  });

  const send = ({ path = CHAT, method, headers, body }: BadRequest): Promise<Response> =>
    fetch(`${entry.url}${path}`, {
      method: method ?? (body === undefined ? 'GET' : 'POST'),
      headers: { ...TEST_HEADERS, ...headers },
      ...(body === undefined ? {} : { body: encodeBody(body) as string }),
    });

  it.each(badRequests)(
    '$name is refused with its result code and as not run',
    async (badRequest) => {
      const response = await send(badRequest);
      const { error } = (await response.json()) as { error: Record<string, unknown> };
      expect([response.status, error.code]).toEqual(badRequest.expected);
      expect(error).toMatchObject({
        ran: 'no',
        message: expect.any(String),
        hint: expect.any(String),
      });
      expect(error.requestId).toBe(response.headers.get('x-request-id'));
      const isCounted = entry.entry
        .renderMetrics()
        .includes(`savorywind_rejections_total{code="${badRequest.expected[1]}"}`);
      expect(isCounted).toBe(badRequest.expected[1] < 2_000);
      expect(response.headers.get('retry-after')).toBe(badRequest.retryAfter ?? null);
      expect(service.calls).toEqual([]);
    },
  );

  it('a missing credential has its own result code, and the response names the scheme', async () => {
    const response = await fetch(`${entry.url}/v1/models`);
    expect(response.status).toBe(401);
    expect(response.headers.get('www-authenticate')).toBe('Bearer');
    expect(await response.json()).toMatchObject({ error: { code: 1005 } });
  });

  it('an invalid field is named by its path, without its value', async () => {
    const body = { model: 'assistant', messages: [{ role: 'user', content: { secret: 'hush' } }] };
    const text = await (await send({ name: '', body, expected: [400, 1002] })).text();
    expect(text).toContain('messages.0.content');
    expect(text).not.toContain('hush');
  });

  it('a method that is not allowed is refused with a list of the allowed methods', async () => {
    const response = await send({ name: '', method: 'PUT', body: chat, expected: [405, 1017] });
    expect(response.headers.get('allow')).toBe('POST');
  });

  it('bodies that exceed the shared memory budget are refused with Retry-After', async () => {
    const entryWithSmallBudget = await startTestEntry({ limits: { maxBufferedBodyBytes: 1_024 } });
    const response = await fetch(`${entryWithSmallBudget.url}${CHAT}`, {
      method: 'POST',
      headers: TEST_HEADERS,
      body: 'x'.repeat(2_048),
    });
    expect(response.status).toBe(503);
    expect(response.headers.get('retry-after')).toBe('1');
    expect(await response.json()).toMatchObject({ error: { code: 1022, ran: 'no' } });
    // The memory has been released: a small body is read and refused for its contents.
    const next = await fetch(`${entryWithSmallBudget.url}${CHAT}`, {
      method: 'POST',
      headers: TEST_HEADERS,
      body: '{',
    });
    expect(await next.json()).toMatchObject({ error: { code: 1001 } });
    await entryWithSmallBudget.close();
  });

  it('a request without an endpoint is refused at once with Retry-After', async () => {
    const entryWithoutEndpoints = await startTestEntry();
    const response = await fetch(`${entryWithoutEndpoints.url}${CHAT}`, {
      method: 'POST',
      headers: TEST_HEADERS,
      body: JSON.stringify(chat),
    });
    expect(response.status).toBe(503);
    expect(Number(response.headers.get('retry-after'))).toBeGreaterThan(0);
    expect(await response.json()).toMatchObject({ error: { code: 2001, ran: 'no' } });
    await entryWithoutEndpoints.close();
  });

  it('an idempotency key reused with another body is refused, and the first call runs once', async () => {
    const book = (body: string): Promise<Response> =>
      fetch(`${entry.url}/services/booking/bookings`, {
        method: 'POST',
        headers: { ...TEST_HEADERS, 'idempotency-key': 'saturday-9' },
        body,
      });
    expect((await book('{"chair":1}')).status).toBe(200);
    const other = await book('{"chair":2}');
    expect(other.status).toBe(422);
    expect(await other.json()).toMatchObject({ error: { code: 4002 } });
    expect(service.calls.map(({ body }) => body)).toEqual(['{"chair":1}']);
    service.calls.length = 0;
  });
});
