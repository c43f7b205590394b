import { afterEach, describe, expect, it, vi } from 'vitest';
import { startEndlessEndpoint, type EndlessEndpoint } from '../fixtures/endless-endpoint.js';
import { runAttempt, type AttemptOutcome } from '../fixtures/test-attempt.js';
import { ConnectionPools } from '../../src/gateway/endpoints/connection-pools.js';

const OK = 'HTTP/1.1 200 OK\r\n';
const CHUNKED = `${OK}Transfer-Encoding: chunked\r\n\r\n`;

/** Time in which an attempt must have failed and its connection must be closed, in milliseconds. */
const TEST_LIMIT_MS = 2_000;

let endpoint: EndlessEndpoint | undefined;
const pools = new ConnectionPools();

afterEach(() => {
  endpoint?.close();
  pools.stop();
});

const runEndlessly = async (head: string, part: string): Promise<AttemptOutcome> => {
  endpoint = await startEndlessEndpoint({ head, part });
  const outcome = await runAttempt(endpoint.port, pools);
  await vi.waitFor(() => expect(endpoint?.countOpenSockets()).toBe(0), TEST_LIMIT_MS);
  return outcome;
};

describe('an endpoint that sends a head without end', () => {
  it.each([
    ['bytes that are not HTTP', '', 'what is this'],
    ['a status line', 'HTTP/1.1 200 ', 'a'],
    ['a header line', `${OK}X-A: `, 'a'],
    ['headers', OK, 'X-A: b\r\n'],
    ['empty lines before the status line', '', '\r\n'],
    ['responses with status 100', '', 'HTTP/1.1 100 Continue\r\n\r\n'],
    ['responses with status 103', '', 'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n'],
  ])(
    'has its connection closed: %s',
    async (_name, head, part) => {
      const { end, tookMs } = await runEndlessly(head, part);
      expect(end).toMatchObject({ kind: 'attempt.failed', failure: 'invalid' });
      expect(end).toHaveProperty('detail', expect.stringMatching(/Parse Error|65536 bytes/));
      expect(tookMs).toBeLessThan(TEST_LIMIT_MS);
    },
    2 * TEST_LIMIT_MS,
  );
});

describe('an endpoint that frames its body without end', () => {
  it.each([
    ['one chunk extension', `${CHUNKED}1;a=`, 'b'],
    ['chunks of one byte with long extensions', CHUNKED, `1;a=${'b'.repeat(10_000)}\r\na\r\n`],
    ['zeros of a chunk size', CHUNKED, '0'],
    ['a trailer line', `${CHUNKED}2\r\nok\r\n0\r\nX-A: `, 'a'],
    ['trailers', `${CHUNKED}2\r\nok\r\n0\r\n`, 'X-A: b\r\n'],
  ])(
    'has its connection closed: %s',
    async (_name, head, part) => {
      const { end, tookMs } = await runEndlessly(head, part);
      expect(end).toMatchObject({ kind: 'attempt.failed', failure: 'invalid' });
      expect(end).toHaveProperty('detail', expect.stringMatching(/Parse Error|65536 bytes/));
      expect(tookMs).toBeLessThan(TEST_LIMIT_MS);
    },
    2 * TEST_LIMIT_MS,
  );
});

describe('an endpoint that switches protocols', () => {
  it('fails the attempt at once', async () => {
    const head = 'HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n';
    const { end } = await runEndlessly(head, 'a');
    expect(end).toMatchObject({ failure: 'invalid', detail: 'endpoint switched protocols' });
  }, 2_000);
});
