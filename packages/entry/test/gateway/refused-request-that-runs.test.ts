import { request } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import type { GatewayConfiguration } from '@savorywind/model';
import { afterEach, describe, expect, it } from 'vitest';
import {
  createGatewayConfiguration,
  startRawServer,
  startTestGateway,
  type TestGateway,
} from '../fixtures/test-gateway.js';

/** Time for an endpoint to run what it still reads after the caller has its response. */
const LATE_RUN_MS = 150;

const NO_BODY = 'Content-Length: 0\r\n\r\n';

let gateway: TestGateway | undefined;
let closeEndpoint = (): void => {};
let runs: string[] = [];

afterEach(() => {
  gateway?.process.stopImmediately();
  closeEndpoint();
  runs = [];
});

/** A configuration in which no request may run twice. */
const createConfiguration = (): Partial<GatewayConfiguration> => ({
  routes: createGatewayConfiguration().routes.map((route) => ({
    ...route,
    kind: 'nonIdempotent' as const,
  })),
});

const sendAttempt = (name: string): Promise<number> =>
  new Promise((resolve, reject) => {
    const headers = { Host: 'shop.example', 'X-Try': name };
    const { port } = gateway!;
    request(
      { host: '127.0.0.1', port, method: 'POST', path: '/a', headers, agent: false },
      (response) => {
        response.resume();
        response.on('close', () => resolve(response.statusCode ?? 0));
      },
    )
      .on('error', reject)
      .end();
  });

const createRejection = (name: string): string =>
  `HTTP/1.1 503 Full\r\nX-Try: ${name}\r\nX-Not-Run: 1\r\n${NO_BODY}`;

const UNNAMED_REJECTION = `HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n${NO_BODY}`;

const run = (name: string, socket: Socket): void => {
  runs.push(name);
  socket.write(`HTTP/1.1 200 OK\r\nX-Receipt: r\r\nX-Try: ${name}\r\n${NO_BODY}`);
};

/**
 * Starts a gateway with one endpoint.
 *
 * @param respond called for each request with its number on its connection, from 1
 */
const startGateway = async (
  respond: (name: string, socket: Socket, count: number) => void,
): Promise<void> => {
  const endpoint = await startRawServer((socket) => {
    let count = 0;
    socket.on('data', (bytes: Buffer) => {
      const name = /x-try: (\w+)/i.exec(bytes.toString())?.[1];
      if (name === undefined) return;
      count += 1;
      respond(name, socket, count);
    });
  });
  closeEndpoint = endpoint.close;
  gateway = await startTestGateway([endpoint.port], createConfiguration());
};

describe('a request that must not run twice and is refused as not run', () => {
  it('did not run where a rejection comes twice on a connection that is used again', async () => {
    const rejectedOn = new Map<Socket, string>();
    await startGateway((name, socket) => {
      const rejected = rejectedOn.get(socket);
      if (rejected === undefined) {
        rejectedOn.set(socket, name);
        socket.write(createRejection(name));
        return;
      }
      socket.write(createRejection(rejected));
      run(name, socket);
    });
    const status = await sendAttempt('t1');
    await delay(LATE_RUN_MS);
    expect({ status, runs }).toEqual({ status: 503, runs: [] });
  });

  it('did not run where a late rejection names no request', async () => {
    await startGateway((name, socket, count) => {
      if (count > 1) socket.write(UNNAMED_REJECTION);
      run(name, socket);
    });
    expect(await sendAttempt('t1')).toBe(200);
    const status = await sendAttempt('t2');
    await delay(LATE_RUN_MS);
    expect({ status, runs }).toEqual({ status: 502, runs: ['t1', 't2'] });
  });

  it('is sent again where the first response of a connection is a rejection without a name', async () => {
    let connections = 0;
    await startGateway((name, socket, count) => {
      if (count === 1) connections += 1;
      if (connections === 1) socket.write(UNNAMED_REJECTION);
      else run(name, socket);
    });
    expect(await sendAttempt('t1')).toBe(200);
    expect(runs).toEqual(['t1']);
  });
});
