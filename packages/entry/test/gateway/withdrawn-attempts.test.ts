import { once } from 'node:events';
import { createServer, type AddressInfo, type Server } from 'node:net';
import type { GatewayEvent } from '@savorywind/decisions';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { CallerExchange } from '../../src/gateway/callers/caller-exchange.js';
import { ConnectionPools } from '../../src/gateway/endpoints/connection-pools.js';
import { createEndpointTarget } from '../../src/gateway/endpoints/endpoint-target.js';
import { Containment } from '../../src/runtime/containment.js';
import { OutgoingAttempt } from '../../src/gateway/endpoints/outgoing-attempt.js';
import type { AttemptStart, GatewayWire } from '../../src/gateway/types.js';

const HOST = '127.0.0.1';

let server: Server;
let receivedBytes: number;
let pools: ConnectionPools;
let events: GatewayEvent[];

const startAttempt = (): OutgoingAttempt => {
  const { port } = server.address() as AddressInfo;
  const start = { endpoint: { id: 'e1', address: { host: HOST, port } }, attemptId: 'a1' };
  const exchange = { body: Buffer.from('body'), method: 'POST', url: '/' };
  const options = {
    start: { ...start, connection: 'kept', connectTimeoutMs: 1_000 } as unknown as AttemptStart,
    exchange: { ...exchange, listForwardedHeaders: () => [] } as unknown as CallerExchange,
  };
  const wire = { buildAttemptHeaders: () => ['Host', 'a.example'] } as unknown as GatewayWire;
  return new OutgoingAttempt({
    containment: new Containment(() => {}),
    ...options,
    target: createEndpointTarget({ ...options, pools, wire }),
    dispatch: (event) => events.push(event),
  });
};

const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

beforeEach(async () => {
  events = [];
  receivedBytes = 0;
  pools = new ConnectionPools();
  server = createServer((socket) => {
    socket.on('error', () => {});
    socket.on('data', ({ length }) => {
      receivedBytes += length;
    });
  });
  server.listen(0, HOST);
  await once(server, 'listening');
});

afterEach(() => {
  pools.stop();
  server.close();
});

describe('an attempt that is withdrawn', () => {
  it('sends nothing if its connection is not open yet, and fails once', async () => {
    const attempt = startAttempt();
    await new Promise((resolve) => {
      process.nextTick(resolve);
    });
    attempt.withdraw();
    await pause(50);
    expect(receivedBytes).toBe(0);
    expect(events).toMatchObject([
      { kind: 'attempt.failed', attemptId: 'a1', failure: 'withdrawn' },
    ]);
  });

  it('goes on if bytes of its request may have been sent', async () => {
    const attempt = startAttempt();
    await once(server, 'connection');
    await pause(20);
    attempt.withdraw();
    await pause(20);
    expect(receivedBytes).toBeGreaterThan(0);
    expect(events).toEqual([]);
    attempt.cancel();
  });
});
