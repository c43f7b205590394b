import { connect, type Socket } from 'node:net';
import type { GatewayConfiguration } from '@savorywind/model';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  createGatewayConfiguration,
  startRawServer,
  startTestGateway,
  type TestGateway,
} from '../fixtures/test-gateway.js';
import { ThrownErrors } from '../fixtures/thrown-errors.js';

const OK = 'HTTP/1.1 200 OK\r\nX-Receipt: r\r\nContent-Length: 4\r\n\r\ndone';

let thrown: ThrownErrors;
let gateway: TestGateway | undefined;
let closers: (() => void)[] = [];

beforeEach(() => {
  thrown = new ThrownErrors();
});

afterEach(() => {
  gateway?.process.stopImmediately();
  closers.forEach((close) => close());
  closers = [];
  thrown.stop();
});

interface Endpoint {
  readonly port: number;
  /** Heads of the requests that have reached it. */
  readonly runs: string[];
}

/** Starts an endpoint that answers each request by its number, from 0. */
const startEndpoint = async (
  answer: (index: number, socket: Socket) => string,
): Promise<Endpoint> => {
  const runs: string[] = [];
  const server = await startRawServer((socket) =>
    socket.on('data', (bytes) => {
      const response = answer(runs.length, socket);
      runs.push(bytes.toString('latin1'));
      socket.write(response, 'latin1');
    }),
  );
  closers.push(server.close);
  return { port: server.port, runs };
};

const createRoutes = (changes: object): Partial<GatewayConfiguration> => ({
  routes: createGatewayConfiguration().routes.map((route) => ({ ...route, ...changes })),
});

/**
 * Sends requests one after the other on one connection, and returns all that was received: each next one
 * after a pause in which nothing came.
 */
const sendAll = (port: number, requests: readonly string[], idleMs = 250): Promise<string[]> =>
  new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    const answers: string[] = [];
    let timer: NodeJS.Timeout;
    const finish = (): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(answers);
    };
    const sendNext = (): void => {
      const next = requests[answers.length];
      if (next === undefined || socket.destroyed) {
        finish();
        return;
      }
      answers.push('');
      socket.write(next, 'latin1');
      timer = setTimeout(sendNext, idleMs);
    };
    socket.on('data', (chunk) => {
      answers[answers.length - 1] += chunk.toString('latin1');
      clearTimeout(timer);
      timer = setTimeout(sendNext, idleMs);
    });
    socket.on('error', () => {});
    socket.on('close', finish);
    sendNext();
  });

const GET = 'GET /a HTTP/1.1\r\nHost: shop.example\r\nX-Waits: 1500\r\n\r\n';
const POST =
  'POST /a HTTP/1.1\r\nHost: shop.example\r\nX-Waits: 1500\r\nContent-Length: 1\r\n\r\nx';

const HEAD_END = 'X-Receipt: r\r\nContent-Length: 4\r\n\r\ndone';

// Guards against one spoiled answer of one endpoint that ends the process, and the requests of all.
describe('the head of an answer that no caller can get', () => {
  const heads: readonly (readonly [string, string])[] = [
    ['a name with a space', `HTTP/1.1 200 OK\r\nno header: 1\r\n${HEAD_END}`],
    ['an empty name', `HTTP/1.1 200 OK\r\n: 1\r\n${HEAD_END}`],
    ['a name with a letter beyond ASCII', `HTTP/1.1 200 OK\r\nn\u00e9: 1\r\n${HEAD_END}`],
    ['a name with a tab', `HTTP/1.1 200 OK\r\nX\tY: 1\r\n${HEAD_END}`],
    ['a value with a null', `HTTP/1.1 200 OK\r\nX-A: a\0b\r\n${HEAD_END}`],
    ['a value with a control character', `HTTP/1.1 200 OK\r\nX-A: a\u0001b\r\n${HEAD_END}`],
    ['a value with a delete character', `HTTP/1.1 200 OK\r\nX-A: a\u007fb\r\n${HEAD_END}`],
    ['status 099', `HTTP/1.1 099 X\r\n${HEAD_END}`],
    ['status 000', `HTTP/1.1 000 X\r\n${HEAD_END}`],
    ['status 10', `HTTP/1.1 10 X\r\n${HEAD_END}`],
    ['status 1000', `HTTP/1.1 1000 X\r\n${HEAD_END}`],
    ['status 101 without a protocol', `HTTP/1.1 101 X\r\n${HEAD_END}`],
    [
      'status 101 with a protocol',
      `HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x\r\n${HEAD_END}`,
    ],
    [
      'a rejection with such a name',
      `HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nno header: 1\r\n${HEAD_END}`,
    ],
  ];

  it.each(heads)(
    'counts as broken and is not repeated for a call that may run once: %s',
    async (_name, head) => {
      const endpoints = [await startEndpoint(() => head), await startEndpoint(() => head)];
      const ports = endpoints.map(({ port }) => port);
      gateway = await startTestGateway(
        ports,
        createRoutes({ kind: 'nonIdempotent', maxAttempts: 3 }),
      );
      const [answer] = await sendAll(gateway.port, [POST]);
      expect(answer).toMatch(/^HTTP\/1\.1 502 /);
      expect(endpoints.flatMap(({ runs }) => runs)).toHaveLength(1);
      expect(thrown.errors).toEqual([]);
    },
  );

  it.each(heads)('is repeated at another endpoint for a call that may: %s', async (_name, head) => {
    // Whichever of the two gets it first spoils its answer.
    let answers = 0;
    const answer = (): string => {
      answers += 1;
      return answers === 1 ? head : OK;
    };
    const endpoints = [await startEndpoint(answer), await startEndpoint(answer)];
    gateway = await startTestGateway(
      endpoints.map(({ port }) => port),
      createRoutes({ maxAttempts: 2 }),
    );
    const received = await sendAll(gateway.port, [GET, GET]);
    received.forEach((text) => expect(text).toMatch(/^HTTP\/1\.1 200 OK\r\n.*\r\n\r\ndone$/s));
    expect(thrown.errors).toEqual([]);
  });

  it.each(heads)('costs no request of others: %s', async (_name, head) => {
    const [spoiled, sound] = [await startEndpoint(() => head), await startEndpoint(() => OK)];
    gateway = await startTestGateway([spoiled.port, sound.port], createRoutes({ maxAttempts: 2 }));
    const { port } = gateway;
    const received = await Promise.all(Array.from({ length: 8 }, () => sendAll(port, [GET])));
    received.forEach(([text]) => expect(text).toMatch(/^HTTP\/1\.1 (200|502) /));
    expect(received.filter(([text]) => text!.includes('done')).length).toBeGreaterThan(0);
    expect(thrown.errors).toEqual([]);
  });

  it.each(heads)('breaks off a stream visibly that it should continue: %s', async (_name, head) => {
    const event = 'id: 1\ndata: x\n\n';
    const stream =
      'HTTP/1.1 200 OK\r\nX-Receipt: r\r\nContent-Type: text/event-stream\r\n' +
      `Transfer-Encoding: chunked\r\n\r\n${event.length.toString(16)}\r\n${event}\r\n`;
    let answers = 0;
    const answer = (_index: number, socket: Socket): string => {
      answers += 1;
      if (answers > 1) return head;
      setTimeout(() => socket.destroy(), 50);
      return stream;
    };
    const endpoints = [await startEndpoint(answer), await startEndpoint(answer)];
    gateway = await startTestGateway(
      endpoints.map(({ port }) => port),
      createRoutes({ kind: 'streaming', resumable: true, maxAttempts: 2, maxEventGapMs: 500 }),
    );
    const [received] = await sendAll(gateway.port, [GET], 600);
    expect(received).toMatch(/^HTTP\/1\.1 200 OK\r\n/);
    expect(received).toContain(event);
    expect(received).not.toMatch(/0\r\n\r\n$/);
    expect(received).not.toContain('done');
    expect(answers).toBe(2);
    expect(thrown.errors).toEqual([]);
  });
});

describe('the head of an answer that callers can get', () => {
  const serve = async (response: string, request = GET): Promise<string[]> => {
    const endpoint = await startEndpoint((index) => (index === 0 ? response : OK));
    gateway = await startTestGateway([endpoint.port]);
    const received = await sendAll(gateway.port, [request, GET]);
    expect(thrown.errors).toEqual([]);
    // What follows on the connection belongs to the next request.
    expect(received[1]).toMatch(/^HTTP\/1\.1 200 OK\r\n/);
    expect(received[1]).toMatch(/\r\n\r\ndone$/);
    return received;
  };

  it('keeps lists of Set-Cookie, odd names and values with bytes beyond ASCII', async () => {
    const fields = 'Set-Cookie: a=1\r\nSet-Cookie: b=2\r\nX-!#$%&: caf\u00e9\tx\r\nX-Empty:\r\n';
    const [received] = await serve(`HTTP/1.1 200 OK\r\n${fields}${HEAD_END}`);
    [
      'Set-Cookie: a=1\r\nSet-Cookie: b=2\r\n',
      'X-!#$%&: caf\u00e9\tx\r\n',
      'X-Empty: \r\n',
    ].forEach((text) => expect(received).toContain(text));
  });

  it.each([404, 418, 599, 600, 777, 999])('keeps status %i', async (status) => {
    const [received] = await serve(`HTTP/1.1 ${status} X\r\n${HEAD_END}`);
    expect(received).toMatch(new RegExp(`^HTTP/1\\.1 ${status} .*\\r\\n\\r\\ndone$`, 's'));
  });

  it.each([
    ['one 100', 'HTTP/1.1 100 Continue\r\n\r\n'],
    ['one 102', 'HTTP/1.1 102 Processing\r\n\r\n'],
    ['a hundred of 103', 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'.repeat(100)],
    ['100 with a name that has a space', 'HTTP/1.1 100 X\r\nno header: 1\r\n\r\n'],
  ])('comes after interim responses, which are not passed on: %s', async (_name, interim) => {
    const [received] = await serve(`${interim}${OK}`);
    expect(received).toMatch(/^HTTP\/1\.1 200 OK\r\n/);
    expect(received).toMatch(/\r\n\r\ndone$/);
  });

  it.each([
    ['204 with a length', 'HTTP/1.1 204 X\r\nX-Receipt: r\r\nContent-Length: 4\r\n\r\n'],
    ['204 with a body', 'HTTP/1.1 204 X\r\nX-Receipt: r\r\nContent-Length: 4\r\n\r\ndone'],
    [
      '204 in chunks',
      'HTTP/1.1 204 X\r\nX-Receipt: r\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    ],
    ['304 with a length', 'HTTP/1.1 304 X\r\nX-Receipt: r\r\nContent-Length: 4\r\n\r\n'],
    ['304 with a body', 'HTTP/1.1 304 X\r\nX-Receipt: r\r\nContent-Length: 4\r\n\r\ndone'],
  ])('has no body where its status has none: %s', async (_name, response) => {
    const [received] = await serve(response);
    expect(received).toMatch(/^HTTP\/1\.1 (204|304) /);
    expect(received).toMatch(/\r\n\r\n$/);
    expect(received).not.toContain('done');
    expect(received).not.toMatch(/transfer-encoding/i);
    expect(received!.split('\r\n\r\n')).toHaveLength(2);
  });

  it.each([
    ['a length', 'HTTP/1.1 200 OK\r\nX-Receipt: r\r\nContent-Length: 4\r\n\r\n'],
    ['chunks', 'HTTP/1.1 200 OK\r\nX-Receipt: r\r\nTransfer-Encoding: chunked\r\n\r\n'],
    ['neither', 'HTTP/1.1 200 OK\r\nX-Receipt: r\r\n\r\n'],
  ])('has no body for HEAD: %s', async (_name, response) => {
    const [received] = await serve(response, GET.replace('GET', 'HEAD'));
    expect(received).toMatch(/^HTTP\/1\.1 200 OK\r\n/);
    expect(received!.split('\r\n\r\n')).toEqual([expect.any(String), '']);
  });

  it('is passed on without the trailers, whatever these hold', async () => {
    const head =
      'HTTP/1.1 200 OK\r\nX-Receipt: r\r\nTrailer: X-A\r\nTransfer-Encoding: chunked\r\n\r\n';
    const [received] = await serve(`${head}4\r\ndone\r\n0\r\nX-A: 1\r\nno header: 2\r\n\r\n`);
    expect(received).toMatch(/^HTTP\/1\.1 200 OK\r\n/);
    expect(received).toMatch(/\r\n\r\ndone$/);
    expect(received).not.toContain('X-A');
  });

  it.each([
    ['two lengths', 'Content-Length: 4\r\nContent-Length: 5\r\n\r\ndone'],
    [
      'a length and chunks',
      'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n',
    ],
    ['a length that is no number', 'Content-Length: 4x\r\n\r\ndone'],
    ['a negative length', 'Content-Length: -4\r\n\r\ndone'],
    ['a length beyond any number', `Content-Length: ${'9'.repeat(40)}\r\n\r\ndone`],
  ])('is no answer if its length disagrees: %s', async (_name, rest) => {
    const head = `HTTP/1.1 200 OK\r\nX-Receipt: r\r\n${rest}`;
    const endpoint = await startEndpoint(() => head);
    gateway = await startTestGateway([endpoint.port], createRoutes({ kind: 'nonIdempotent' }));
    const [received] = await sendAll(gateway.port, [POST]);
    expect(received).toMatch(/^HTTP\/1\.1 502 /);
    expect(endpoint.runs).toHaveLength(1);
    expect(thrown.errors).toEqual([]);
  });
});
