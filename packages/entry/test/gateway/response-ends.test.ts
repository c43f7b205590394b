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
  /** Whether the response looked complete to the caller. */
  readonly isComplete: boolean;
}

const readOutcome = (response: IncomingMessage): Promise<Outcome> =>
  new Promise((resolve) => {
    let body = '';
    response.on('data', (chunk: Buffer) => {
      body += chunk.toString();
    });
    response.on('error', () => {});
    response.on('close', () =>
      resolve({ status: response.statusCode ?? 0, body, isComplete: response.complete }),
    );
  });

const sendAttempt = (name: string, waitsMs = 2_000): Promise<Outcome> =>
  new Promise((resolve, reject) => {
    const headers = { Host: 'shop.example', 'X-Try': name, 'X-Waits': String(waitsMs) };
    const { port } = gateway!;
    request({ host: '127.0.0.1', port, path: '/a', headers }, (response) =>
      resolve(readOutcome(response)),
    )
      .on('error', reject)
      .end();
  });

const callGateway = async (script: (socket: Socket) => void): Promise<Outcome> => {
  const endpoint = await startRawServer((socket) => socket.once('data', () => script(socket)));
  closeEndpoint = endpoint.close;
  gateway = await startTestGateway([endpoint.port]);
  return sendAttempt('1');
};

describe('the end of a response', () => {
  it('is complete if a response without a length ends with its connection', async () => {
    const outcome = await callGateway((socket) => socket.end(`${HEAD}\r\nwhole`));
    expect(outcome).toEqual({ status: 200, body: 'whole', isComplete: true });
  });

  it('is not complete if the connection is reset', async () => {
    const outcome = await callGateway((socket) =>
      socket.write(`${HEAD}\r\nhalf`, () => socket.resetAndDestroy()),
    );
    expect(outcome.status).toBe(502);
  });

  it('is not complete if it has fewer bytes than its length says', async () => {
    const outcome = await callGateway((socket) =>
      socket.end(`${HEAD}Content-Length: 9\r\n\r\nhalf`),
    );
    expect(outcome.status).toBe(502);
  });

  it('is not accepted if the response has no receipt', async () => {
    const outcome = await callGateway((socket) =>
      socket.end('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'),
    );
    expect(outcome.status).toBe(502);
  });

  it('is not accepted if the response belongs to another request', async () => {
    const outcome = await callGateway((socket) =>
      socket.end(`${HEAD}X-Try: 2\r\nContent-Length: 2\r\n\r\nok`),
    );
    expect(outcome.status).toBe(502);
  });

  it('is not accepted if the bytes are not an HTTP response', async () => {
    const outcome = await callGateway((socket) => socket.end('what is this\r\n\r\n'));
    expect(outcome.status).toBe(502);
  });

  it('becomes status 503 if the endpoint rejected the request', async () => {
    const outcome = await callGateway((socket) =>
      socket.end('HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n'),
    );
    expect(outcome.status).toBe(503);
  });
});

describe('an endpoint that sends responses twice or late', () => {
  /** Creates a complete response that names the attempt that it belongs to. */
  const createResponse = (name: string): string =>
    `${HEAD}X-Try: ${name}\r\nContent-Length: ${name.length}\r\n\r\n${name}`;

  const readName = (bytes: Buffer): string => /x-try: (\w+)/i.exec(bytes.toString())?.[1] ?? '';

  const startEndpoint = async (respond: (name: string, socket: Socket) => void): Promise<void> => {
    const endpoint = await startRawServer((socket) =>
      socket.on('data', (bytes: Buffer) => respond(readName(bytes), socket)),
    );
    closeEndpoint = endpoint.close;
    gateway = await startTestGateway([endpoint.port]);
  };

  it('has a second response discarded', async () => {
    await startEndpoint((name, socket) => {
      socket.write(createResponse(name));
      setTimeout(() => socket.write(createResponse(name)), 5);
    });
    for (const name of ['t1', 't2', 't3', 't4']) {
      const { status, body } = await sendAttempt(name);
      // The route allows one attempt, so a request fails if its attempt received the response to the
      // previous request.
      expect([`200 ${name}`, '502 {"reason":"broken"}']).toContain(`${status} ${body}`);
    }
  });

  it.each([200, 409, 500])(
    'has a late response with status %i that names no request discarded',
    async (status) => {
      const unnamed = `HTTP/1.1 ${status} Late\r\nX-Receipt: r\r\nContent-Length: 4\r\n\r\nlate`;
      await startEndpoint((name, socket) => {
        socket.write(name === 't2' ? unnamed : createResponse(name));
      });
      expect(await sendAttempt('t1')).toMatchObject({ status: 200, body: 't1' });
      expect((await sendAttempt('t2')).status).toBe(502);
    },
  );

  it('has a late response discarded, and the next caller receives its own', async () => {
    await startEndpoint((name, socket) => {
      setTimeout(() => socket.write(createResponse(name)), name === 't1' ? 250 : 0);
    });
    expect((await sendAttempt('t1', 150)).status).toBe(504);
    expect(await sendAttempt('t2')).toMatchObject({ status: 200, body: 't2' });
  });
});
