import { createSocket } from 'node:dgram';
import { Packr } from 'msgpackr';
import type { WorkSnapshot } from '@savorywind/model';
import { reservePort } from '@savorywind/stand-ins';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { PeerSocket } from '../../src/gateway/peer-socket.js';
import {
  decodeForwarded,
  decodeRefused,
  decodeServed,
} from '../../src/gateway/peers/forwarding-headers.js';
import { SnapshotCodec } from '../../src/gateway/snapshot-codec.js';
import { Containment } from '../../src/runtime/containment.js';
import {
  decodeTableFeedMessage,
  encodeTableFeedMessage,
} from '../../src/gateway/store/table-feed-messages.js';
import { ThrownErrors } from '../fixtures/thrown-errors.js';

const HOST = '127.0.0.1';
const packr = new Packr({ useRecords: false });
const codec = new SnapshotCodec();

const DAY_MS = 86_400_000;

const createSnapshot = (): WorkSnapshot => ({
  from: { id: 'vm-2', failureDomain: 'b', address: { host: HOST, port: 7_000 } },
  incarnation: 1,
  sequence: 1,
  work: [
    {
      endpoint: 'e1',
      writers: 1,
      tightWriters: 1,
      tightGapMs: 250,
      readers: 0,
      longReaders: 0,
      readMs: 0,
      memoryTokens: 5_000,
    },
  ],
  limits: [{ endpoint: 'e1', perSecond: 1.5, ageMs: 20 }],
  leaving: [{ endpoint: 'e1', startedAtMs: 5, ageMs: 40 }],
  harm: [
    {
      suspect: 's',
      depth: 1,
      crashes: [{ process: 1, request: 2, tookMs: 3, ageMs: 4 }],
      begunAgeMs: 5,
      triedAgeMs: 6,
    },
  ],
  configuration: { version: 3, ageMs: 7 },
  storeAvailableMs: 8,
  forwarding: { isAccepting: true, lostServices: ['pool'] },
});

const PERMIT_REQUEST = {
  kind: 'permit.request',
  request: {
    permitId: 'vm-1.1.7',
    replyTo: { host: HOST, port: 7_000 },
    limit: { endpoint: 'e1', perSecond: 1.5, ageMs: 20 },
    maxDelayMs: 900,
  },
};

const PERMIT_ANSWER = {
  kind: 'permit.answer',
  answer: { permitId: 'vm-1.1.7', outcome: 'granted', delayMs: 12.5 },
};

/** Values that no field holds, and some that a few hold. */
const HOSTILE: readonly unknown[] = [
  null,
  -1,
  1e308,
  2 ** 53,
  Number.NaN,
  Number.POSITIVE_INFINITY,
  12_345_678_901_234_567_890n,
  'x',
  '',
  'i-→\n\0',
  'x'.repeat(256),
  true,
  [],
  {},
  [null],
  { length: 1e9 },
  new Date(0),
  new Map([[1, 2]]),
  Buffer.from('x'),
];

type Path = readonly (string | number)[];

const listPaths = (value: unknown, path: Path = []): Path[] => {
  if (typeof value !== 'object' || value === null) return [path];
  const nested = Object.entries(value).flatMap(([key, item]) => listPaths(item, [...path, key]));
  return path.length === 0 ? nested : [path, ...nested];
};

const replaceAt = (value: unknown, [key, ...rest]: Path, replacement: unknown): unknown => {
  if (key === undefined) return replacement;
  if (Array.isArray(value))
    return value.map((item: unknown, index) =>
      String(index) === String(key) ? replaceAt(item, rest, replacement) : item,
    );
  const record = value as Record<string, unknown>;
  return { ...record, [key]: replaceAt(record[key], rest, replacement) };
};

const listNumbers = (value: unknown): number[] => {
  if (typeof value === 'number') return [value];
  return typeof value === 'object' && value !== null
    ? Object.values(value).flatMap(listNumbers)
    : [];
};

const listPorts = (value: unknown): unknown[] =>
  typeof value === 'object' && value !== null
    ? Object.entries(value).flatMap(([key, item]) => (key === 'port' ? [item] : listPorts(item)))
    : [];

const isPort = (value: unknown): boolean =>
  Number.isInteger(value) && (value as number) >= 1 && (value as number) <= 65_535;

// Guards against a datagram that ends the process of the entry VM that reads it.
describe('a datagram with a value that no wire, sum or timer can hold', () => {
  it.each([
    ['a snapshot', createSnapshot()],
    ['a compact snapshot', packr.unpack(codec.encode(createSnapshot(), 'compact')) as unknown],
    ['a request for a permit', PERMIT_REQUEST],
    ['an answer about a permit', PERMIT_ANSWER],
  ])('is refused, or holds only what they can hold: %s', (_name, message) => {
    expect(codec.decode(packr.pack(message)).ok).toBe(true);
    listPaths(message).forEach((path) =>
      HOSTILE.forEach((value) => {
        const decoded = codec.decode(packr.pack(replaceAt(message, path, value)));
        if (decoded.err) return;
        listNumbers(decoded.val).forEach((number) =>
          expect([path, number, Math.abs(number) < 2 ** 53]).toEqual([path, number, true]),
        );
        listPorts(decoded.val).forEach((port) =>
          expect([path, port, isPort(port)]).toEqual([path, port, true]),
        );
      }),
    );
  });

  it.each([65_536, 80_800, 0, -1, 1.5, '7000', null])('is refused with port %j', (port) => {
    const from = { ...createSnapshot().from, address: { host: HOST, port } };
    expect(codec.decode(packr.pack({ ...createSnapshot(), from })).err).toBe(true);
    const request = { ...PERMIT_REQUEST.request, replyTo: { host: HOST, port } };
    expect(codec.decode(packr.pack({ ...PERMIT_REQUEST, request })).err).toBe(true);
  });

  it.each(['localhost', '256.0.0.1', '', '::1', 'a b'])('is refused with host %j', (host) => {
    const request = { ...PERMIT_REQUEST.request, replyTo: { host, port: 7_000 } };
    expect(codec.decode(packr.pack({ ...PERMIT_REQUEST, request })).err).toBe(true);
  });

  it.each([DAY_MS + 1, 2 ** 31, 2 ** 52])('is refused with a delay of %d ms', (delayMs) => {
    const answer = { ...PERMIT_ANSWER.answer, delayMs };
    expect(codec.decode(packr.pack({ ...PERMIT_ANSWER, answer })).err).toBe(true);
    const request = { ...PERMIT_REQUEST.request, maxDelayMs: delayMs };
    expect(codec.decode(packr.pack({ ...PERMIT_REQUEST, request })).err).toBe(true);
  });
});

describe('the socket for peers', () => {
  let thrown: ThrownErrors;
  let stop = (): void => {};

  beforeEach(() => {
    thrown = new ThrownErrors();
  });

  afterEach(() => {
    stop();
    thrown.stop();
  });

  it('reports what it can not read, and reads what comes after it', async () => {
    const port = await reservePort();
    const failures: string[] = [];
    const contained: string[] = [];
    let snapshots = 0;
    const socket = new PeerSocket({
      address: { host: HOST, port },
      containment: new Containment(({ work }) => contained.push(work)),
      onSnapshotReceived: ({ from }) => {
        snapshots += 1;
        socket.send(createSnapshot(), [from.address]);
      },
      onPermitMessage: (message) => {
        if (message.kind === 'permit.request')
          socket.sendMessage(PERMIT_ANSWER as never, message.request.replyTo);
      },
      onFailed: (detail) => failures.push(detail),
    });
    await socket.start();
    const sender = createSocket('udp4');
    stop = () => {
      socket.stop();
      sender.close();
    };
    const bad = [
      { ...createSnapshot(), configuration: null },
      { ...createSnapshot(), forwarding: null },
      {
        ...createSnapshot(),
        from: { id: 'x', failureDomain: 'b', address: { host: HOST, port: 1e5 } },
      },
      {
        ...PERMIT_REQUEST,
        request: { ...PERMIT_REQUEST.request, replyTo: { host: HOST, port: 1e5 } },
      },
      null,
      5,
      [],
      [2],
      [2, null, null, null, null, null, null, []],
      { kind: 'permit.request', request: null },
    ].map((message) => packr.pack(message));
    const sound = packr.pack(createSnapshot());
    for (const datagram of [...bad, Buffer.alloc(0), Buffer.from([0xc1]), sound]) {
      sender.send(datagram, port, HOST);
      await new Promise((resolve) => {
        setTimeout(resolve, 5);
      });
    }
    await expect.poll(() => snapshots).toBe(1);
    expect(failures).toHaveLength(bad.length + 2);
    expect(contained).toEqual([]);
    expect(thrown.errors).toEqual([]);
  });
});

const encode = (value: unknown): string => Buffer.from(packr.pack(value)).toString('base64');

describe('a header between entry VMs', () => {
  const forwarded = {
    attempt: 'vm-1.2',
    by: 'vm-1',
    version: 1,
    elapsedMs: 5,
    hasBegun: false,
    failedEndpoints: ['e1'],
  };
  const refused = { attempt: 'vm-1.2', reason: 'noRoom', hasRun: false, hasArrived: false };

  it.each([1e308, 2 ** 53, DAY_MS + 1])('holds no time that a timer can not hold: %d', (ms) => {
    const decoded = decodeForwarded(encode({ ...forwarded, elapsedMs: ms }));
    expect(decoded.unwrap().elapsedMs).toBe(DAY_MS);
    const refusal = decodeRefused(encode({ ...refused, retryAfterMs: ms })).unwrap();
    expect(refusal.retryAfterMs).toBe(DAY_MS);
  });

  it('does not cost an answer if the start of its endpoint can not be read', () => {
    [-1, 1.5, 1e308, 'x', null].forEach((startedAtMs) => {
      const served = decodeServed(encode({ attempt: 'a', id: 'e1', startedAtMs })).unwrap();
      expect(served).toEqual({ attempt: 'a', id: 'e1', startedAtMs: undefined });
    });
  });

  it('holds only what it can hold, whatever is in its place', () => {
    [
      [forwarded, decodeForwarded] as const,
      [{ ...refused, retryAfterMs: 5, endpoint: 'e1' }, decodeRefused] as const,
      [{ attempt: 'a', id: 'e1', startedAtMs: 5 }, decodeServed] as const,
    ].forEach(([message, decode]) => {
      expect(decode(encode(message)).ok).toBe(true);
      listPaths(message).forEach((path) =>
        HOSTILE.forEach((value) => {
          const decoded = decode(encode(replaceAt(message, path, value)));
          if (decoded.err) return;
          listNumbers(decoded.val).forEach((number) =>
            expect([path, number, number >= 0 && number < 2 ** 53]).toEqual([path, number, true]),
          );
        }),
      );
    });
    ['', '!', 'AAAA', '\u00e9', 'x'.repeat(10_000)].forEach((text) =>
      expect(decodeForwarded(text).err).toBe(true),
    );
  });
});

describe('a message about the tables', () => {
  const row = { key: 'i-1', value: Buffer.from('{}'), removed: false };
  const table = { table: 't', kind: 'snapshot', era: 1, version: 2, ageMs: 5, rows: [row] };
  const response = { kind: 'response', id: 1, tables: [table] };
  const request = { kind: 'request', id: 1, positions: [{ table: 't', era: 1, version: 2 }] };

  it.each([
    ['a request', request],
    ['a response', response],
  ])('is refused, or holds only what a version or an age can be: %s', (_name, message) => {
    expect(decodeTableFeedMessage(encodeTableFeedMessage(message as never)).ok).toBe(true);
    listPaths(message).forEach((path) =>
      HOSTILE.forEach((value) => {
        const decoded = decodeTableFeedMessage(packr.pack(replaceAt(message, path, value)));
        if (decoded.err) return;
        const { val } = decoded;
        const numbers =
          val.kind === 'response'
            ? val.tables.flatMap(({ era = 0, version, ageMs }) => [era, version, ageMs])
            : [];
        numbers.push(
          ...(val.kind === 'request'
            ? val.positions.flatMap(({ era = 0, version = 0 }) => [era, version])
            : []),
        );
        numbers.forEach((number) =>
          expect([path, number, number >= 0 && number < 2 ** 53]).toEqual([path, number, true]),
        );
      }),
    );
  });
});
