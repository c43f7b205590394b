import { request } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import type { GatewayEvent } from '@savorywind/decisions';
import { Ok, type GatewayPeer } from '@savorywind/model';
import { reservePort } from '@savorywind/stand-ins';
import { afterEach, describe, expect, it } from 'vitest';
import { ConnectionPools } from '../../src/gateway/endpoints/connection-pools.js';
import { ReservationCalls } from '../../src/gateway/endpoints/reservation-calls.js';
import { MetricsServer } from '../../src/gateway/metrics/metrics-server.js';
import { TableFeedClient } from '../../src/gateway/store/table-feed-client.js';
import { TableMirror } from '../../src/gateway/store/table-mirror.js';
import type { GatewayAdapter, ReservationRequest } from '../../src/gateway/types.js';
import { Containment, type Work } from '../../src/runtime/containment.js';
import {
  createRow,
  startRawServer,
  startTestGateway,
  waitUntilReady,
} from '../fixtures/test-gateway.js';

const HOST = '127.0.0.1';
const RESPONSE = 'HTTP/1.1 200 OK\r\nX-Receipt: r\r\nContent-Length: 4\r\n\r\ndone';

const closers: (() => void)[] = [];

afterEach(() => closers.splice(0).forEach((close) => close()));

const throwText = (text: string): never => {
  throw new Error(text);
};

const createContainment = (): { containment: Containment; works: string[] } => {
  const works: string[] = [];
  return { containment: new Containment(({ work }: Work) => works.push(work)), works };
};

const readStatus = (port: number, path: string): Promise<number> =>
  new Promise((resolve, reject) => {
    request(
      { host: HOST, port, path, headers: { Host: 'shop.example' }, agent: false },
      (answer) => {
        answer.resume();
        answer.on('end', () => resolve(answer.statusCode ?? 0));
      },
    )
      .on('error', reject)
      .end();
  });

const waitUntil = async (isTrue: () => boolean): Promise<void> => {
  while (!isTrue()) await delay(5);
};

const startServing = async (
  changeAdapter: (adapter: GatewayAdapter) => GatewayAdapter,
): Promise<number> => {
  const endpoint = await startRawServer((socket) =>
    socket.on('data', () => socket.write(RESPONSE)),
  );
  const gateway = await startTestGateway([endpoint.port], {}, undefined, {}, changeAdapter);
  closers.push(endpoint.close, () => gateway.process.stopImmediately());
  await waitUntilReady(gateway.readinessPort);
  return gateway.port;
};

describe('a client of the store that throws or rejects', () => {
  it.each<[string, () => never | Promise<never>]>([
    ['throws', () => throwText('bad address')],
    ['rejects', () => Promise.reject(new Error('bad answer'))],
  ])('has its reads repeated: %s', async (_case, fail) => {
    let failures = 6;
    const port = await startServing((adapter) => ({
      ...adapter,
      tables: {
        ...adapter.tables,
        readAll: (...args) => {
          failures -= 1;
          return failures >= 0 ? fail() : adapter.tables.readAll(...args);
        },
        putRow: () => (failures >= 0 ? fail() : Promise.resolve(Ok(undefined))),
      },
    }));
    expect(await readStatus(port, '/a')).toBe(200);
  });
});

describe('a row that a decoder throws at', () => {
  it('costs no other row', async () => {
    const port = await startServing((adapter) => ({
      ...adapter,
      rows: {
        ...adapter.rows,
        decodeEndpoint: (row) =>
          row.key === 'odd' ? throwText('odd') : adapter.rows.decodeEndpoint(row),
        decodePeer: (row) => (row.key === 'odd' ? throwText('odd') : adapter.rows.decodePeer(row)),
      },
      tables: {
        ...adapter.tables,
        readAll: async (table, timeoutMs) => {
          const read = await adapter.tables.readAll(table, timeoutMs);
          if (read.err) return read;
          return Ok({ ...read.val, rows: [createRow('odd', {}), ...read.val.rows] });
        },
      },
    }));
    expect(await readStatus(port, '/a')).toBe(200);
  });
});

describe('a reservation', () => {
  it.each<[string, () => never | Promise<never>]>([
    ['throws', () => throwText('bad port')],
    ['rejects', () => Promise.reject(new Error('bad reply'))],
  ])('whose call %s is answered as unknown', async (_case, fail) => {
    const events: GatewayEvent[] = [];
    const { containment, works } = createContainment();
    const calls = new ReservationCalls({
      reservations: { reserve: fail, release: fail },
      pools: new ConnectionPools(),
      dispatch: (event) => events.push(event),
      containment,
    });
    const endpoint = { id: 'e1' };
    calls.reserve({ reservationId: 'r1', endpoint } as ReservationRequest);
    calls.release({ kind: 'reservation.release', reservationId: 'r1', endpoint } as never);
    await delay(10);
    expect(events).toEqual([
      { kind: 'reservation.answered', reservationId: 'r1', outcome: 'unknown' },
    ]);
    expect(works.toSorted()).toEqual(['reservation.release', 'reservation.reserve']);
  });
});

describe('a peer whose address can’t be used', () => {
  it('fails as the source of the tables', async () => {
    const failed: string[] = [];
    const { containment } = createContainment();
    const client = new TableFeedClient({
      mirrors: [new TableMirror('servers')],
      maxAgesMs: new Map(),
      timing: { answerTimeoutMs: 5_000, askIntervalMs: 1_000, readIntervalMs: 1_000 },
      readClockMs: () => performance.now(),
      onRows: () => undefined,
      onFailed: ({ id }) => failed.push(id),
      containment,
    });
    client.connect({ id: 'vm-2', address: { host: HOST, port: 80_800 } } as GatewayPeer);
    await waitUntil(() => failed.length > 0);
    expect(failed).toEqual(['vm-2']);
  });
});

describe('metrics that can’t be rendered', () => {
  it('cost one answer', async () => {
    const { containment, works } = createContainment();
    const port = await reservePort();
    let isBroken = true;
    const server = new MetricsServer(
      { host: HOST, port },
      () => (isBroken ? throwText('not a number') : 'savorywind_up 1\n'),
      containment,
    );
    await server.start();
    closers.push(() => server.stop());
    expect(await readStatus(port, '/metrics')).toBe(500);
    isBroken = false;
    expect(await readStatus(port, '/metrics')).toBe(200);
    expect(works).toEqual(['metrics.render']);
  });
});
