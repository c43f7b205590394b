import fc from 'fast-check';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  answer,
  openRawCaller,
  startTestRequestServer,
  waitUntil,
  type TestRequestServer,
} from '../fixtures/test-request-server.js';

/** `SEED` and `RUNS` in the environment play others. */
const RUNS = {
  seed: Number(process.env.SEED ?? 20_261_205),
  numRuns: Number(process.env.RUNS ?? 60),
};

interface SentRequest {
  readonly text: string;
  readonly body: string;
}

const extraHeader = fc.constantFrom(
  '',
  'X-Tokens: 5\r\n',
  'Connection: keep-alive\r\n',
  'Expect: 100-continue\r\n',
);

const bodyText = fc
  .array(fc.constantFrom('a', '0', '\r\n', '\n', '\r\n\r\n', 'GET / HTTP/1.1\r\n\r\n', '5\r\n'))
  .map((parts) => parts.join(''));

const bodiless = extraHeader.map((header): SentRequest => ({
  text: `GET /a HTTP/1.1\r\nHost: shop.example\r\n${header}\r\n`,
  body: '',
}));

const withLength = fc.tuple(extraHeader, bodyText).map(([header, body]): SentRequest => {
  const head = `POST /a HTTP/1.1\r\nHost: shop.example\r\n${header}Content-Length: ${body.length}`;
  return { text: `${head}\r\n\r\n${body}`, body };
});

const inChunks = fc
  .tuple(extraHeader, fc.array(bodyText), fc.constantFrom('', ';x=1'), fc.boolean())
  .map(([header, parts, extension, hasTrailer]): SentRequest => {
    const head = `POST /a HTTP/1.1\r\nHost: shop.example\r\n${header}Transfer-Encoding: chunked`;
    const chunks = parts
      .filter((part) => part !== '')
      .map((part) => `${part.length.toString(16)}${extension}\r\n${part}\r\n`);
    const end = `0\r\n${hasTrailer ? 'X-Trailer: 1\r\n' : ''}\r\n`;
    return { text: `${head}\r\n\r\n${chunks.join('')}${end}`, body: parts.join('') };
  });

const requests = fc.array(
  fc
    .tuple(fc.constantFrom('', '', '\r\n'), fc.oneof(bodiless, withLength, inChunks))
    .map(([before, request]) => ({ ...request, text: before + request.text })),
  { minLength: 1, maxLength: 8 },
);

const malformed = fc.constantFrom(
  '',
  '\u0000\u0001',
  'what is this\r\n\r\n',
  'CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n',
  'POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n',
  'POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
);

let server: TestRequestServer;
let bodies: string[] = [];
let open = 0;
let mostOpen = 0;

beforeEach(async () => {
  server = await startTestRequestServer({
    onRequestReceived: (exchange) => {
      bodies.push(exchange.body.toString('latin1'));
      open += 1;
      mostOpen = Math.max(mostOpen, open);
      setTimeout(() => {
        open -= 1;
        answer(exchange, 'done');
      }, 1);
    },
  });
});

afterEach(() => server.stop());

const countAnswers = (received: string): number => received.split('done').length - 1;

describe('requests that are sent one behind the other in any form', () => {
  it('run one at a time, whole and in order, and malformed bytes behind them end none', async () => {
    const splits = fc.array(fc.integer({ min: 1, max: 200 }), { maxLength: 6 });
    const property = fc.asyncProperty(requests, malformed, splits, async (sent, tail, sizes) => {
      bodies = [];
      mostOpen = 0;
      const text = sent.map((request) => request.text).join('') + tail;
      const caller = openRawCaller(server.port, '');
      let at = 0;
      for (const size of sizes) {
        caller.socket.write(text.slice(at, at + size), 'latin1');
        at += size;
        await delay(1);
      }
      caller.socket.write(text.slice(at), 'latin1');
      await waitUntil(() => countAnswers(caller.received) === sent.length || caller.isClosed);
      if (tail !== '') await waitUntil(() => caller.isClosed);
      caller.socket.destroy();
      expect(countAnswers(caller.received)).toBe(sent.length);
      expect(bodies).toEqual(sent.map(({ body }) => body));
      expect(mostOpen).toBe(1);
      if (tail !== '')
        expect(caller.received).toMatch(/done(HTTP\/1\.1 100 Continue\r\n\r\n)?HTTP\/1\.1 400 /);
    });
    await fc.assert(property, RUNS);
  });
});
