import { request, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { startRawServer, startTestGateway, type TestGateway } from '../fixtures/test-gateway.js';

const HEAD = 'HTTP/1.1 200 OK\r\nX-Receipt: r\r\n';

let gateway: TestGateway | undefined;
let closeEndpoint = (): void => {};

afterEach(() => {
  gateway?.process.stopImmediately();
  closeEndpoint();
});

interface Outcome {
  readonly status: number;
  readonly body: string;
  /** Whether the answer looked complete to its caller. */
  readonly isComplete: boolean;
}

const readOutcome = (answer: IncomingMessage): Promise<Outcome> =>
  new Promise((resolve) => {
    let body = '';
    answer.on('data', (chunk: Buffer) => {
      body += chunk.toString();
    });
    answer.on('error', () => {});
    answer.on('close', () =>
      resolve({ status: answer.statusCode ?? 0, body, isComplete: answer.complete }),
    );
  });

const sendTry = (name: string, waitsMs = 2_000): Promise<Outcome> =>
  new Promise((resolve, reject) => {
    const headers = { Host: 'shop.example', 'X-Try': name, 'X-Waits': String(waitsMs) };
    const { port } = gateway!;
    request({ host: '127.0.0.1', port, path: '/a', headers }, (answer) =>
      resolve(readOutcome(answer)),
    )
      .on('error', reject)
      .end();
  });

const callGateway = async (script: (socket: Socket) => void): Promise<Outcome> => {
  const endpoint = await startRawServer((socket) => socket.once('data', () => script(socket)));
  closeEndpoint = endpoint.close;
  gateway = await startTestGateway([endpoint.port]);
  return sendTry('1');
};

describe('the end of an answer', () => {
  it('is taken for whole where an answer without a length ends with its connection', async () => {
    const outcome = await callGateway((socket) => socket.end(`${HEAD}\r\nwhole`));
    expect(outcome).toEqual({ status: 200, body: 'whole', isComplete: true });
  });

  it('is not taken for whole where the connection is reset', async () => {
    const outcome = await callGateway((socket) =>
      socket.write(`${HEAD}\r\nhalf`, () => socket.resetAndDestroy()),
    );
    expect(outcome.status).toBe(502);
  });

  it('is not taken for whole where bytes of the length are missing', async () => {
    const outcome = await callGateway((socket) =>
      socket.end(`${HEAD}Content-Length: 9\r\n\r\nhalf`),
    );
    expect(outcome.status).toBe(502);
  });

  it('is not taken where the answer has no receipt', async () => {
    const outcome = await callGateway((socket) =>
      socket.end('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'),
    );
    expect(outcome.status).toBe(502);
  });

  it('is not taken where the answer belongs to another request', async () => {
    const outcome = await callGateway((socket) =>
      socket.end(`${HEAD}X-Try: 2\r\nContent-Length: 2\r\n\r\nok`),
    );
    expect(outcome.status).toBe(502);
  });

  it('is not taken where the bytes are no answer', async () => {
    const outcome = await callGateway((socket) => socket.end('what is this\r\n\r\n'));
    expect(outcome.status).toBe(502);
  });

  it('of a rejected request is a refusal that tells when to come back', async () => {
    const outcome = await callGateway((socket) =>
      socket.end('HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n'),
    );
    expect(outcome.status).toBe(503);
  });
});

describe('an endpoint whose answers come twice or late', () => {
  /** Whole answers that name the try that they belong to. */
  const createAnswer = (name: string): string =>
    `${HEAD}X-Try: ${name}\r\nContent-Length: ${name.length}\r\n\r\n${name}`;

  const readName = (bytes: Buffer): string => /x-try: (\w+)/i.exec(bytes.toString())?.[1] ?? '';

  const startEndpoint = async (answer: (name: string, socket: Socket) => void): Promise<void> => {
    const endpoint = await startRawServer((socket) =>
      socket.on('data', (bytes: Buffer) => answer(readName(bytes), socket)),
    );
    closeEndpoint = endpoint.close;
    gateway = await startTestGateway([endpoint.port]);
  };

  it('gives a second answer to nobody', async () => {
    await startEndpoint((name, socket) => {
      socket.write(createAnswer(name));
      setTimeout(() => socket.write(createAnswer(name)), 5);
    });
    for (const name of ['t1', 't2', 't3', 't4']) {
      const { status, body } = await sendTry(name);
      // The route allows one attempt: where it met the answer before, it can't be repeated.
      expect([`200 ${name}`, '502 {"reason":"broken"}']).toContain(`${status} ${body}`);
    }
  });

  it('gives a late answer to nobody, and the next caller its own', async () => {
    await startEndpoint((name, socket) => {
      setTimeout(() => socket.write(createAnswer(name)), name === 't1' ? 250 : 0);
    });
    expect((await sendTry('t1', 150)).status).toBe(504);
    expect(await sendTry('t2')).toMatchObject({ status: 200, body: 't2' });
  });
});
