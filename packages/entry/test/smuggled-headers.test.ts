import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest';
import { openRawConnection, parseRawResponse } from './fixtures/raw-connection.js';
import { startTestEntry, TEST_HEADERS, type TestEntry } from './fixtures/test-entry.js';
import { startTestService, type TestService } from './fixtures/test-service.js';

const PATH = '/services/booking/bookings/1';
const AUTHORIZATION = `authorization: ${TEST_HEADERS.authorization}`;

const formatRaw = (method: string, headers: readonly string[], body = ''): string =>
  [`${method} ${PATH} HTTP/1.1`, ...headers, '', body].join('\r\n');

const SMUGGLED_REQUEST = 'GET /services/booking/bookings/666 HTTP/1.1\r\nhost: x\r\n\r\n';

const rawRequests: readonly (readonly [name: string, code: number, raw: string])[] = [
  [
    'Content-Length with Transfer-Encoding',
    1014,
    formatRaw(
      'POST',
      ['host: x', AUTHORIZATION, 'content-length: 4', 'transfer-encoding: chunked'],
      `0\r\n\r\n${SMUGGLED_REQUEST}`,
    ),
  ],
  [
    'Transfer-Encoding with Content-Length',
    1014,
    formatRaw(
      'POST',
      ['host: x', AUTHORIZATION, 'transfer-encoding: chunked', 'content-length: 4'],
      `0\r\n\r\n${SMUGGLED_REQUEST}`,
    ),
  ],
  [
    'two Content-Length headers that differ',
    1014,
    formatRaw(
      'POST',
      ['host: x', AUTHORIZATION, 'content-length: 0', `content-length: ${SMUGGLED_REQUEST.length}`],
      SMUGGLED_REQUEST,
    ),
  ],
  [
    'two lengths in one Content-Length header',
    1014,
    formatRaw('POST', ['host: x', AUTHORIZATION, 'content-length: 0, 4'], 'abcd'),
  ],
  [
    'a Content-Length with a sign',
    1014,
    formatRaw('POST', ['host: x', AUTHORIZATION, 'content-length: +4'], 'abcd'),
  ],
  [
    'a Transfer-Encoding that does not end in chunked',
    1014,
    formatRaw(
      'POST',
      ['host: x', AUTHORIZATION, 'transfer-encoding: chunked, identity'],
      `0\r\n\r\n${SMUGGLED_REQUEST}`,
    ),
  ],
  [
    'a space before the colon',
    1014,
    formatRaw('POST', ['host: x', AUTHORIZATION, 'content-length : 4'], 'abcd'),
  ],
  [
    'a header with obsolete line folding',
    1014,
    formatRaw('GET', ['host: x', AUTHORIZATION, 'x-a: b', ' folded']),
  ],
  [
    'a bare line feed in a header',
    1014,
    formatRaw('GET', ['host: x', AUTHORIZATION, 'x-a: b\nx-smuggled: 1']),
  ],
  ['a zero byte in a header', 1014, formatRaw('GET', ['host: x', AUTHORIZATION, 'x-a: b\0c'])],
  [
    'an invalid chunk size',
    1014,
    formatRaw('POST', ['host: x', AUTHORIZATION, 'transfer-encoding: chunked'], 'zz\r\n'),
  ],
  [
    'two Host headers',
    1011,
    formatRaw('GET', ['host: x', 'host: y', AUTHORIZATION, 'connection: close']),
  ],
  [
    'two Authorization headers',
    1011,
    formatRaw('GET', [
      'host: x',
      AUTHORIZATION,
      'authorization: Bearer other',
      'connection: close',
    ]),
  ],
  [
    'two idempotency key headers',
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
    'two timeout headers',
    1011,
    formatRaw('GET', [
      'host: x',
      AUTHORIZATION,
      'x-request-timeout: 1',
      'x-request-timeout: 900',
      'connection: close',
    ]),
  ],
  ['a missing Host header', 1014, formatRaw('GET', [AUTHORIZATION, 'connection: close'])],
  [
    'an unsupported expectation',
    1020,
    formatRaw('GET', ['host: x', AUTHORIZATION, 'expect: a miracle', 'connection: close']),
  ],
  ['CONNECT', 1017, 'CONNECT db:5432 HTTP/1.1\r\nhost: db:5432\r\n\r\n'],
  ['bytes that are not HTTP', 1014, '\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03'],
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
    '%s: refused once with code %i, without reaching the service',
    async (_name, code, raw) => {
      const response = parseRawResponse(await openRawConnection(entry.port, raw).received);
      expect(response.body.error).toMatchObject({ code, ran: 'no' });
      expect(response.headers['x-request-id']).toBe(response.body.error.requestId);
      expect(service.calls).toEqual([]);
    },
  );

  it.each([
    ['an incomplete head', `GET ${PATH} HTTP/1.1\r\nhost: x\r\n`],
    [
      'an incomplete body',
      formatRaw('POST', ['host: x', AUTHORIZATION, 'content-length: 9'], 'half'),
    ],
  ])('%s is refused after the read timeout with Retry-After', async (_name, raw) => {
    const response = parseRawResponse(await openRawConnection(entry.port, raw).received);
    expect(response.status).toBe(408);
    expect(response.headers['retry-after']).toBe('1');
    expect(response.body.error).toMatchObject({ code: 1016, ran: 'no' });
    expect(service.calls).toEqual([]);
  });

  it('headers named by Connection and hop-by-hop headers are not forwarded', async () => {
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

  it('garbage after a running request is not answered with a refusal that claims it did not run', async () => {
    const arrived = new Promise<() => void>((resolve) => {
      service.respond = (response) => resolve(() => response.end());
    });
    const raw = formatRaw('GET', ['host: x', AUTHORIZATION]);
    const { socket, received } = openRawConnection(entry.port, raw);
    const finishResponse = await arrived;
    socket.write('garbage\r\n\r\n');
    expect(await received).toBe('');
    finishResponse();
    service.respond = (response) => response.end('ok');
  });

  it('garbage after a request adds nothing to its response', async () => {
    let finishResponse: () => void = () => {};
    service.respond = (response) => {
      response.write('first');
      finishResponse = () => response.end();
    };
    const raw = formatRaw('GET', ['host: x', AUTHORIZATION]);
    const { socket, received } = openRawConnection(entry.port, raw);
    await new Promise((resolve) => {
      socket.once('data', resolve);
    });
    socket.write('garbage\r\n\r\n');
    const rawResponse = await received;
    expect(rawResponse.match(/HTTP\/1\.1/g)).toHaveLength(1);
    expect(rawResponse).not.toContain('malformedRequest');
    finishResponse();
    service.respond = (response) => response.end('ok');
  });
});
