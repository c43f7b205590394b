import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest';
import { openRawConnection, parseRawAnswer } from './fixtures/raw-connection.js';
import { startTestEntry, TEST_HEADERS, type TestEntry } from './fixtures/test-entry.js';
import { startTestService, type TestService } from './fixtures/test-service.js';

const PATH = '/services/booking/bookings/1';
const AUTHORIZATION = `authorization: ${TEST_HEADERS.authorization}`;

const formatRaw = (method: string, headers: readonly string[], body = ''): string =>
  [`${method} ${PATH} HTTP/1.1`, ...headers, '', body].join('\r\n');

const SMUGGLED = 'GET /services/booking/bookings/666 HTTP/1.1\r\nhost: x\r\n\r\n';

const rawRequests: readonly (readonly [name: string, code: number, raw: string])[] = [
  [
    'Content-Length with Transfer-Encoding',
    1014,
    formatRaw(
      'POST',
      ['host: x', AUTHORIZATION, 'content-length: 4', 'transfer-encoding: chunked'],
      `0\r\n\r\n${SMUGGLED}`,
    ),
  ],
  [
    'Transfer-Encoding with Content-Length',
    1014,
    formatRaw(
      'POST',
      ['host: x', AUTHORIZATION, 'transfer-encoding: chunked', 'content-length: 4'],
      `0\r\n\r\n${SMUGGLED}`,
    ),
  ],
  [
    'two lengths that differ',
    1014,
    formatRaw(
      'POST',
      ['host: x', AUTHORIZATION, 'content-length: 0', `content-length: ${SMUGGLED.length}`],
      SMUGGLED,
    ),
  ],
  [
    'two lengths in one header',
    1014,
    formatRaw('POST', ['host: x', AUTHORIZATION, 'content-length: 0, 4'], 'abcd'),
  ],
  [
    'a length with a sign',
    1014,
    formatRaw('POST', ['host: x', AUTHORIZATION, 'content-length: +4'], 'abcd'),
  ],
  [
    'an encoding that is not chunked',
    1014,
    formatRaw(
      'POST',
      ['host: x', AUTHORIZATION, 'transfer-encoding: chunked, identity'],
      `0\r\n\r\n${SMUGGLED}`,
    ),
  ],
  [
    'a space before the colon',
    1014,
    formatRaw('POST', ['host: x', AUTHORIZATION, 'content-length : 4'], 'abcd'),
  ],
  ['a folded header', 1014, formatRaw('GET', ['host: x', AUTHORIZATION, 'x-a: b', ' folded'])],
  [
    'a bare line feed in a header',
    1014,
    formatRaw('GET', ['host: x', AUTHORIZATION, 'x-a: b\nx-smuggled: 1']),
  ],
  ['a zero byte in a header', 1014, formatRaw('GET', ['host: x', AUTHORIZATION, 'x-a: b\0c'])],
  [
    'a broken chunk size',
    1014,
    formatRaw('POST', ['host: x', AUTHORIZATION, 'transfer-encoding: chunked'], 'zz\r\n'),
  ],
  ['two hosts', 1011, formatRaw('GET', ['host: x', 'host: y', AUTHORIZATION, 'connection: close'])],
  [
    'two credentials',
    1011,
    formatRaw('GET', [
      'host: x',
      AUTHORIZATION,
      'authorization: Bearer other',
      'connection: close',
    ]),
  ],
  [
    'two idempotency keys',
    1011,
    formatRaw('POST', [
      'host: x',
      AUTHORIZATION,
      'idempotency-key: a',
      'Idempotency-Key: b',
      'content-length: 0',
      'connection: close',
    ]),
  ],
  [
    'two timeouts',
    1011,
    formatRaw('GET', [
      'host: x',
      AUTHORIZATION,
      'x-request-timeout: 1',
      'x-request-timeout: 900',
      'connection: close',
    ]),
  ],
  ['no host', 1014, formatRaw('GET', [AUTHORIZATION, 'connection: close'])],
  [
    'another expectation',
    1020,
    formatRaw('GET', ['host: x', AUTHORIZATION, 'expect: a miracle', 'connection: close']),
  ],
  ['CONNECT', 1017, 'CONNECT db:5432 HTTP/1.1\r\nhost: db:5432\r\n\r\n'],
  ['no HTTP at all', 1014, '\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03'],
  [
    'a dot segment',
    1018,
    formatRaw('GET', ['host: x', AUTHORIZATION, 'connection: close']).replace(
      '/bookings/1',
      '/bookings/../payments',
    ),
  ],
  [
    'an encoded dot segment',
    1018,
    formatRaw('GET', ['host: x', AUTHORIZATION, 'connection: close']).replace(
      '/bookings/1',
      '/bookings/%2e%2E/payments',
    ),
  ],
  [
    'a fragment',
    1018,
    formatRaw('GET', ['host: x', AUTHORIZATION, 'connection: close']).replace(
      '/bookings/1',
      '/bookings/1#x',
    ),
  ],
];

describe('smuggled headers', () => {
  let service: TestService;
  let entry: TestEntry;

  beforeAll(async () => {
    service = await startTestService();
    entry = await startTestEntry({
      servicePort: service.port,
      limits: { headersTimeoutMs: 100, requestReadTimeoutMs: 300 },
    });
  });

  afterEach(() => {
    service.calls.length = 0;
  });

  afterAll(async () => {
    await entry.close();
    await service.close();
  });

  it.each(rawRequests)(
    '%s: one refusal with code %i, nothing at the service',
    async (_name, code, raw) => {
      const answer = parseRawAnswer(await openRawConnection(entry.port, raw).received);
      expect(answer.body.error).toMatchObject({ code, ran: 'no' });
      expect(answer.headers['x-request-id']).toBe(answer.body.error.requestId);
      expect(service.calls).toEqual([]);
    },
  );

  it.each([
    ['half a head', `GET ${PATH} HTTP/1.1\r\nhost: x\r\n`],
    ['half a body', formatRaw('POST', ['host: x', AUTHORIZATION, 'content-length: 9'], 'half')],
  ])('%s is refused when its time is over, with a time to come back', async (_name, raw) => {
    const answer = parseRawAnswer(await openRawConnection(entry.port, raw).received);
    expect(answer.status).toBe(408);
    expect(answer.headers['retry-after']).toBe('1');
    expect(answer.body.error).toMatchObject({ code: 1016, ran: 'no' });
    expect(service.calls).toEqual([]);
  });

  it('hop-by-hop headers named by Connection do not travel', async () => {
    const headers = [
      'host: x',
      AUTHORIZATION,
      'connection: close, x-secret',
      'x-secret: 1',
      'te: trailers',
    ];
    await openRawConnection(entry.port, formatRaw('GET', headers)).received;
    const [call] = service.calls;
    expect(Object.keys(call?.headers ?? {})).not.toContain('x-secret');
    expect(Object.keys(call?.headers ?? {})).not.toContain('te');
  });

  it('garbage behind a request that runs is not answered as if the request had not run', async () => {
    const arrived = new Promise<() => void>((resolve) => {
      service.answer = (response) => resolve(() => response.end());
    });
    const raw = formatRaw('GET', ['host: x', AUTHORIZATION]);
    const { socket, received } = openRawConnection(entry.port, raw);
    const goOn = await arrived;
    socket.write('garbage\r\n\r\n');
    expect(await received).toBe('');
    goOn();
    service.answer = (response) => response.end('ok');
  });

  it('garbage behind a request never mixes with its answer', async () => {
    let goOn: () => void = () => {};
    service.answer = (response) => {
      response.write('first');
      goOn = () => response.end();
    };
    const raw = formatRaw('GET', ['host: x', AUTHORIZATION]);
    const { socket, received } = openRawConnection(entry.port, raw);
    await new Promise((resolve) => {
      socket.once('data', resolve);
    });
    socket.write('garbage\r\n\r\n');
    const answer = await received;
    expect(answer.match(/HTTP\/1\.1/g)).toHaveLength(1);
    expect(answer).not.toContain('malformedRequest');
    goOn();
    service.answer = (response) => response.end('ok');
  });
});
