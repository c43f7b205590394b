import type { Duplex } from 'node:stream';
import { setTimeout as delay } from 'node:timers/promises';
import { createCallerLimits } from '@savorywind/stand-ins';
import { afterEach, describe, expect, it } from 'vitest';
import {
  answer,
  openRawCaller,
  sendHead,
  startTestRequestServer,
  waitUntil,
  type RawCaller,
  type TestRequestServer,
} from '../fixtures/test-request-server.js';

const GET = 'GET /a HTTP/1.1\r\nHost: shop.example\r\n\r\n';

const createPost = (body: string): string =>
  `POST /a HTTP/1.1\r\nHost: shop.example\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

const CHUNKED_HEAD = 'POST /a HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n\r\n';

/** A moment in which bytes that were sent have arrived, in milliseconds. */
const ARRIVAL_MS = 100;

/** Time within which a caller that has left must not cost an engine any more, in milliseconds. */
const GONE_MS = 500;

const closers: (() => void)[] = [];

afterEach(() => closers.splice(0).forEach((close) => close()));

const startServer = async (
  ...options: Parameters<typeof startTestRequestServer>
): Promise<TestRequestServer> => {
  const server = await startTestRequestServer(...options);
  closers.push(() => server.stop());
  return server;
};

const openCaller = (port: number, bytes: string): RawCaller => {
  const caller = openRawCaller(port, bytes);
  closers.push(() => caller.socket.destroy());
  return caller;
};

/** Lists the status and the `Connection` header of each response in order. */
const listResponses = (received: string): [string, string | undefined][] =>
  received
    .split('HTTP/1.1 ')
    .slice(1)
    .map((text) => [text.slice(0, 3), /^Connection: (.*)\r$/im.exec(text)?.[1]]);

describe('requests that follow each other on a connection when the process stops', () => {
  it.each(['before they are sent', 'while the first one runs'])(
    'are all answered, and only the last answer says close: the signal comes %s',
    async (moment) => {
      const { port, server, exchanges } = await startServer();
      if (moment === 'before they are sent') server.stopKeepAlive();
      const caller = openCaller(port, GET + createPost('hi'));
      await waitUntil(() => exchanges.length > 0);
      await delay(ARRIVAL_MS);
      server.stopKeepAlive();
      answer(exchanges[0]!, 'one');
      await waitUntil(() => exchanges.length === 2 || caller.isClosed);
      answer(exchanges[1]!, 'two');
      await waitUntil(() => caller.isClosed);
      expect(caller.received).toMatch(/one.*two$/s);
      expect(listResponses(caller.received)).toEqual([
        ['200', 'keep-alive'],
        ['200', 'close'],
      ]);
    },
  );

  it.each(['has begun', 'has ended'])(
    'are not passed on after an answer that says close %s',
    async (moment) => {
      const { port, server, exchanges } = await startServer();
      server.stopKeepAlive();
      const caller = openCaller(port, GET);
      await waitUntil(() => exchanges.length === 1);
      sendHead(exchanges[0]!, 3);
      exchanges[0]!.send(Buffer.from('o'));
      if (moment === 'has ended') {
        exchanges[0]!.send(Buffer.from('ne'));
        exchanges[0]!.finish();
      }
      await waitUntil(() => caller.received.includes('Connection: close'));
      caller.socket.write(GET.repeat(3));
      await delay(ARRIVAL_MS);
      if (moment === 'has begun') {
        exchanges[0]!.send(Buffer.from('ne'));
        exchanges[0]!.finish();
      }
      await waitUntil(() => caller.isClosed);
      expect(caller.received).toMatch(/one$/);
      expect(exchanges).toHaveLength(1);
    },
  );

  it('do not discard the answer that says close by crossing it', async () => {
    const { port, server, exchanges } = await startServer();
    server.stopKeepAlive();
    const caller = openCaller(port, GET);
    caller.socket.pause();
    await waitUntil(() => exchanges.length === 1);
    answer(exchanges[0]!, 'one');
    for (let sent = 0; sent < 5; sent += 1) {
      await delay(20);
      caller.socket.write(GET);
    }
    caller.socket.resume();
    await waitUntil(() => caller.isClosed);
    expect(caller.received).toMatch(/one$/);
    expect(exchanges).toHaveLength(1);
  });

  it('do not keep a connection open whose caller does not close it', async () => {
    const { port, server, exchanges } = await startServer();
    server.stopKeepAlive();
    const caller = openCaller(port, GET);
    caller.socket.removeAllListeners('end');
    await waitUntil(() => exchanges.length === 1);
    answer(exchanges[0]!, 'one');
    const timer = setInterval(() => caller.socket.write(GET), 20);
    closers.push(() => clearInterval(timer));
    await waitUntil(() => caller.isClosed);
    expect(caller.received).toMatch(/one$/);
    expect(exchanges).toHaveLength(1);
  });

  it('come to an end although the caller never stops sending', async () => {
    const { port, server, exchanges } = await startServer({
      onRequestReceived: (exchange) => {
        exchanges.push(exchange);
        setTimeout(() => answer(exchange, 'x'), 5);
      },
    });
    const caller = openCaller(port, GET.repeat(3));
    const timer = setInterval(() => caller.socket.write(GET.repeat(3)), 1);
    closers.push(() => clearInterval(timer));
    await waitUntil(() => exchanges.length > 5);
    server.stopKeepAlive();
    await delay(ARRIVAL_MS);
    expect(caller.isClosed).toBe(false);
    server.stop();
    await waitUntil(() => caller.isClosed);
    clearInterval(timer);
    const responses = listResponses(caller.received);
    expect(responses.slice(0, -1).every(([, connection]) => connection === 'keep-alive')).toBe(
      true,
    );
    expect(responses.at(-1)?.[1]).toBe('close');
    const served = responses.filter(([status]) => status === '200');
    expect(served).toHaveLength(exchanges.length);
  });
});

describe('requests that have arrived behind an open one when the process refuses the rest', () => {
  it('are each refused as not run, and only the last refusal says close', async () => {
    const { port, server, exchanges } = await startServer();
    const caller = openCaller(port, GET + createPost('hi') + GET);
    await waitUntil(() => exchanges.length > 0);
    await delay(ARRIVAL_MS);
    server.stop();
    answer(exchanges[0]!, 'one');
    await waitUntil(() => caller.isClosed);
    expect(listResponses(caller.received)).toEqual([
      ['200', 'keep-alive'],
      ['503', 'keep-alive'],
      ['503', 'close'],
    ]);
    expect(exchanges).toHaveLength(1);
  });

  it('are refused if the body of the last one goes on after the stop', async () => {
    const { port, server, exchanges } = await startServer();
    const caller = openCaller(port, GET + createPost('hello').slice(0, -2));
    await waitUntil(() => exchanges.length > 0);
    await delay(ARRIVAL_MS);
    server.stop();
    caller.socket.write('l');
    await delay(ARRIVAL_MS);
    caller.socket.write('o');
    await delay(ARRIVAL_MS);
    answer(exchanges[0]!, 'one');
    await waitUntil(() => caller.isClosed);
    expect(listResponses(caller.received)).toEqual([
      ['200', 'keep-alive'],
      ['503', 'close'],
    ]);
    expect(exchanges).toHaveLength(1);
  });
});

describe('a sound request with something behind it on its connection', () => {
  it.each([
    ['bytes that are no request', 'what is this\r\n\r\n', '400'],
    ['a head with an invalid length', `${GET.slice(0, -2)}Content-Length: 4x\r\n\r\nabcd`, '400'],
    ['a head without Host', 'GET /a HTTP/1.1\r\n\r\n', '400'],
    ['a head that is too large', `${GET.slice(0, -2)}X-Long: ${'x'.repeat(70_000)}\r\n\r\n`, '431'],
    ['CONNECT', 'CONNECT a.example:443 HTTP/1.1\r\nHost: a.example\r\n\r\n', '400'],
    ['an invalid chunk', `${CHUNKED_HEAD}zz\r\n`, '400'],
    ['an expectation', `${GET.slice(0, -2)}Expect: wonders\r\n\r\n`, '417'],
  ])('is answered completely before the refusal: %s', async (_name, bytes, status) => {
    const { port, exchanges } = await startServer();
    const caller = openCaller(port, createPost('hi') + bytes);
    await waitUntil(() => exchanges.length > 0);
    await delay(ARRIVAL_MS);
    caller.socket.write(GET);
    await delay(ARRIVAL_MS);
    expect(caller.isClosed).toBe(false);
    sendHead(exchanges[0]!, 3);
    exchanges[0]!.send(Buffer.from('o'));
    await delay(ARRIVAL_MS);
    exchanges[0]!.send(Buffer.from('ne'));
    exchanges[0]!.finish();
    await waitUntil(() => caller.isClosed);
    expect(listResponses(caller.received).map(([code]) => code)).toEqual(['200', status]);
    expect(caller.received).toMatch(/oneHTTP\/1\.1 \d+ .*\r\nConnection: close\r\n/s);
    expect(exchanges).toHaveLength(1);
  });

  it('keeps its body if the bytes behind that are no request arrive with it', async () => {
    const { port, exchanges } = await startServer();
    const caller = openCaller(port, `${CHUNKED_HEAD}2\r\nhi\r\n`);
    await delay(ARRIVAL_MS);
    caller.socket.write('3\r\n\n\r\n\r\n0\r\nX-Trailer: 1\r\n\r\n\u0000\u0001');
    await waitUntil(() => exchanges.length === 1);
    await delay(ARRIVAL_MS);
    expect(exchanges[0]!.body.toString()).toBe('hi\n\r\n');
    answer(exchanges[0]!, 'one');
    await waitUntil(() => caller.isClosed);
    expect(listResponses(caller.received).map(([code]) => code)).toEqual(['200', '400']);
  });

  it('is answered if the next head does not come to its end, which gets 408', async () => {
    const { port, server, exchanges } = await startServer();
    server.changeLimits({ ...createCallerLimits(), headerTimeoutMs: 500 });
    const caller = openCaller(port, `${GET}GET /a HT`);
    await waitUntil(() => exchanges.length === 1);
    await delay(2_500);
    expect(caller.isClosed).toBe(false);
    answer(exchanges[0]!, 'one');
    await waitUntil(() => caller.isClosed);
    expect(listResponses(caller.received).map(([code]) => code)).toEqual(['200', '408']);
  });

  it('is answered before a request with Connection: close, and nothing behind that runs', async () => {
    const { port, exchanges } = await startServer();
    const closing = `${GET.slice(0, -2)}Connection: close\r\n\r\n`;
    const caller = openCaller(port, `${GET}${closing}${GET}`);
    await waitUntil(() => exchanges.length > 0);
    await delay(ARRIVAL_MS);
    answer(exchanges[0]!, 'one');
    await waitUntil(() => exchanges.length === 2);
    answer(exchanges[1]!, 'two');
    await waitUntil(() => caller.isClosed);
    expect(caller.received).toMatch(/one.*two$/s);
    expect(exchanges).toHaveLength(2);
  });

  it('is answered before the caller is told to go on with the next body', async () => {
    const { port, exchanges } = await startServer();
    const head = createPost('').replace('Length: 0\r\n', 'Length: 2\r\nExpect: 100-continue\r\n');
    const caller = openCaller(port, GET + head);
    await waitUntil(() => exchanges.length === 1);
    await delay(ARRIVAL_MS);
    expect(caller.received).toBe('');
    answer(exchanges[0]!, 'one');
    await waitUntil(() => caller.received.endsWith('HTTP/1.1 100 Continue\r\n\r\n'));
    caller.socket.write('hi');
    await waitUntil(() => exchanges.length === 2);
    expect(exchanges[1]!.body.toString()).toBe('hi');
  });

  it('is answered by a server for peers before a connection changes its protocol', async () => {
    const upgrades: { readonly socket: Duplex; readonly head: Buffer }[] = [];
    const { port, exchanges } = await startServer({
      onUpgrade: (_incoming, socket, head) => upgrades.push({ socket, head }),
    });
    const upgrade = `${GET.slice(0, -2)}Connection: Upgrade\r\nUpgrade: other\r\n\r\n`;
    const caller = openCaller(port, `${GET}${upgrade}abc`);
    await waitUntil(() => exchanges.length === 1);
    await delay(ARRIVAL_MS);
    expect(upgrades).toHaveLength(0);
    answer(exchanges[0]!, 'one');
    await waitUntil(() => upgrades.length === 1);
    expect(caller.received).toMatch(/one$/);
    expect(upgrades[0]!.head.toString()).toBe('abc');
    let later = '';
    upgrades[0]!.socket.on('data', (chunk: Buffer) => {
      later += chunk.toString();
    });
    caller.socket.write('def');
    await waitUntil(() => later === 'def');
  });

  it('is answered before an Upgrade of a caller, which is the last request of its connection', async () => {
    const { port, exchanges } = await startServer();
    const upgrade = `${GET.slice(0, -2)}Connection: Upgrade\r\nUpgrade: other\r\n\r\n`;
    const caller = openCaller(port, `${GET}${upgrade}what is this\r\n\r\n`);
    await waitUntil(() => exchanges.length === 1);
    answer(exchanges[0]!, 'one');
    await waitUntil(() => exchanges.length === 2);
    answer(exchanges[1]!, 'two');
    await waitUntil(() => caller.isClosed);
    expect(caller.received).toMatch(/one.*two$/s);
    expect(listResponses(caller.received).map(([, connection]) => connection)).toEqual([
      'keep-alive',
      'close',
    ]);
  });
});

describe('a caller that sends many requests at a time', () => {
  it('has one of them passed on at a time, and all are answered in order', async () => {
    let open = 0;
    let most = 0;
    const { port } = await startServer({
      onRequestReceived: (exchange) => {
        open += 1;
        most = Math.max(most, open);
        setTimeout(() => {
          open -= 1;
          answer(exchange, `<${exchange.body.toString()}>`);
        }, 1);
      },
    });
    const numbers = Array.from({ length: 300 }, (_, index) => String(index));
    const caller = openCaller(port, numbers.map((number) => createPost(number)).join(''));
    await waitUntil(() => caller.received.includes('<299>'));
    const bodies = [...caller.received.matchAll(/<(\d+)>/g)].map(([, number]) => number);
    expect(bodies).toEqual(numbers);
    expect(most).toBe(1);
  });

  it('is not read any further while they wait', async () => {
    const { port, exchanges } = await startServer();
    const caller = openCaller(port, GET);
    await waitUntil(() => exchanges.length === 1);
    const bytes = Buffer.alloc(40_000_000, GET);
    caller.socket.write(bytes);
    await delay(5 * ARRIVAL_MS);
    expect(caller.socket.writableLength).toBeGreaterThan(bytes.length / 2);
    expect(exchanges).toHaveLength(1);
  });

  it('has the time that a request waited behind another one taken off its deadline', async () => {
    const { port, exchanges } = await startServer();
    const head = `${GET.slice(0, -2)}X-Waits: 5000\r\n\r\n`;
    openCaller(port, head.repeat(2));
    await waitUntil(() => exchanges.length > 0);
    await delay(3 * ARRIVAL_MS);
    answer(exchanges[0]!, 'one');
    await waitUntil(() => exchanges.length === 2);
    expect(exchanges[0]!.metadata.waitsMs).toBeGreaterThan(5_000 - ARRIVAL_MS);
    expect(exchanges[1]!.metadata.waitsMs).toBeLessThanOrEqual(5_000 - 2 * ARRIVAL_MS);
  });
});

describe('a caller that closes its direction of the connection', () => {
  it('gets the answers to the requests before, in order', async () => {
    const { port, exchanges } = await startServer({
      onRequestReceived: (exchange) => {
        exchanges.push(exchange);
        setTimeout(() => answer(exchange, `answer-${exchanges.length}`), 20);
      },
    });
    const caller = openCaller(port, '');
    caller.socket.end(GET + createPost('hi') + GET);
    await waitUntil(() => caller.isClosed);
    expect(caller.received).toMatch(/answer-1.*answer-2.*answer-3$/s);
  });

  it('gets all of an answer that goes on without a long pause', async () => {
    const { port, exchanges } = await startServer();
    const caller = openCaller(port, GET);
    await waitUntil(() => exchanges.length === 1);
    caller.socket.end();
    const parts = Array.from({ length: 10 }, (_, index) => `part-${index}`);
    sendHead(exchanges[0]!, parts.join('').length);
    for (const part of parts) {
      exchanges[0]!.send(Buffer.from(part));
      await delay(ARRIVAL_MS);
    }
    exchanges[0]!.finish();
    await waitUntil(() => caller.isClosed);
    expect(caller.received.endsWith(parts.join(''))).toBe(true);
  });

  it('has left if it closed its connection, and no answer came since', async () => {
    const { port, exchanges, disconnected, server } = await startServer();
    const caller = openCaller(port, GET.repeat(3));
    await waitUntil(() => exchanges.length > 0);
    const startedAtMs = performance.now();
    caller.socket.destroy();
    await waitUntil(() => disconnected.length > 0);
    expect(performance.now() - startedAtMs).toBeLessThan(GONE_MS);
    expect(exchanges).toHaveLength(1);
    expect(server.openResponseCount).toBe(0);
  });
});
