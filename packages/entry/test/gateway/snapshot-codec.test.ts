import { createSocket, type Socket } from 'node:dgram';
import { once } from 'node:events';
import { Packr } from 'msgpackr';
import { DATAGRAM_HEADER_BYTES, estimateDatagramBytes } from '@savorywind/decisions';
import type { WorkSnapshot } from '@savorywind/model';
import { reservePort } from '@savorywind/stand-ins';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Containment } from '../../src/runtime/containment.js';
import { PeerSocket } from '../../src/gateway/peer-socket.js';
import type { PermitMessage } from '../../src/gateway/permit-messages.js';
import { SnapshotCodec, type SnapshotFormat } from '../../src/gateway/snapshot-codec.js';

const HOST = '127.0.0.1';

const createSnapshot = (engines: number, port = 7_000): WorkSnapshot => ({
  from: { id: 'front-hafnar-15', failureDomain: 'hafnar', address: { host: HOST, port } },
  incarnation: 1_764_820_800_000,
  sequence: 123_456,
  configuration: { version: 4_000_000_000, ageMs: 4_000_000_000 },
  work: Array.from({ length: engines }, (_, index) => ({
    endpoint: `i-${String(10_000_000 + index)}`,
    writers: 3,
    tightWriters: 4,
    tightGapMs: 250,
    readers: 1,
    longReaders: 1,
    readMs: 3_000,
    memoryTokens: 340_000,
  })),
  limits: [
    { endpoint: 'i-20000001', perSecond: 1.5, ageMs: 250 },
    { endpoint: 'i-20000002', perSecond: undefined, ageMs: 0 },
  ],
});

/** Most bytes that one datagram carries over IPv4. */
const MAX_DATAGRAM_BYTES = 65_507;

/** Elements of the compact form in builds that know no limits. */
const ELEMENTS_WITHOUT_LIMITS = 8;

describe('a snapshot', () => {
  const codec = new SnapshotCodec();

  it.each<SnapshotFormat>(['named', 'compact'])('is the same after decoding, %s', (format) => {
    const decoded = codec.decode(codec.encode(createSnapshot(3), format)).unwrap();
    expect(decoded).toMatchObject({ snapshot: createSnapshot(3), readsCompact: true });
  });

  it.each<SnapshotFormat>(['named', 'compact'])(
    'tells whether requests of peers are taken, %s',
    (format) => {
      const offers = [
        { isAccepting: true, lostServices: [] },
        { isAccepting: false, lostServices: ['pool', 'booking'] },
        undefined,
      ];
      offers.forEach((forwarding) => {
        const bytes = codec.encode({ ...createSnapshot(1), forwarding }, format);
        const decoded = codec.decode(bytes).unwrap();
        expect(decoded.kind === 'snapshot' && decoded.snapshot.forwarding).toEqual(forwarding);
      });
    },
  );

  it.each([
    { isAccepting: 1, lostServices: [] },
    { isAccepting: true, lostServices: [7] },
    { isAccepting: true, lostServices: 'pool' },
    { isAccepting: true },
  ])('with a malformed offer to take requests is refused, %j', (forwarding) => {
    const packr = new Packr({ useRecords: false });
    expect(codec.decode(packr.pack({ ...createSnapshot(1), forwarding })).err).toBe(true);
  });

  it('of a build that knows no limits has none, and is decoded', () => {
    const { limits, configuration, ...snapshot } = createSnapshot(3);
    const packr = new Packr({ useRecords: false });
    const compact = packr.unpack(codec.encode(createSnapshot(3), 'compact')) as unknown[];
    const decoded = [
      packr.pack(snapshot),
      packr.pack(compact.slice(0, ELEMENTS_WITHOUT_LIMITS)),
    ].map((bytes) => codec.decode(bytes).unwrap());
    expect([limits?.length, configuration?.version]).toEqual([2, 4_000_000_000]);
    decoded.forEach((datagram) => {
      expect(datagram).toMatchObject({ kind: 'snapshot', snapshot });
      expect(datagram).not.toMatchObject({ snapshot: { limits: expect.anything() as unknown } });
    });
  });

  it.each([
    [{ endpoint: 7, perSecond: 1, ageMs: 1 }],
    [{ endpoint: 'e', perSecond: -2, ageMs: 1 }],
    [{ endpoint: 'e', perSecond: 1, ageMs: Number.NaN }],
  ])('with an invalid limit is refused, %j', (limit) => {
    const snapshot = { ...createSnapshot(1), limits: [limit] } as unknown as WorkSnapshot;
    expect(codec.decode(codec.encode(snapshot, 'named')).err).toBe(true);
  });

  it.each<SnapshotFormat>(['named', 'compact'])('tells whose limits it knows, %s', (format) => {
    const limits = [
      { endpoint: 'i-20000001', perSecond: 1.5, ageMs: 250, startedAtMs: 1_764_820_800_123 },
      { endpoint: 'i-20000002', perSecond: undefined, ageMs: 0, startedAtMs: undefined },
      { endpoint: 'i-20000003', perSecond: 0, ageMs: 90_000, startedAtMs: 1_764_820_900_456 },
    ];
    const snapshot = { ...createSnapshot(3), limits };
    const bytes = codec.encode(snapshot, format);
    expect(codec.decode(bytes).unwrap()).toMatchObject({ snapshot });
    if (format === 'compact')
      expect(bytes.length + DATAGRAM_HEADER_BYTES).toBeLessThan(estimateDatagramBytes(snapshot));
  });

  it('fits a datagram with the limits of 1,500 engines, and work on 500', () => {
    const limits = Array.from({ length: 1_500 }, (_, index) => ({
      endpoint: `i-${String(10_000_000 + index)}`,
      perSecond: 1.5,
      ageMs: 250,
      startedAtMs: 1_764_820_800_123,
    }));
    const bytes = codec.encode({ ...createSnapshot(500), limits }, 'compact');
    expect(bytes.length).toBeLessThan(MAX_DATAGRAM_BYTES);
  });

  it('keeps the elements that earlier builds read where the processes of limits are known', () => {
    const packr = new Packr({ useRecords: false });
    const unpack = (snapshot: WorkSnapshot): unknown[] =>
      packr.unpack(codec.encode(snapshot, 'compact')) as unknown[];
    const offer = { isAccepting: true, lostServices: [] };
    const before = { ...createSnapshot(3), forwarding: offer };
    const limits = before.limits!.map((limit) => ({ ...limit, startedAtMs: 5 }));
    const elements = unpack(before);
    const extended = unpack({ ...before, limits });
    expect(extended.slice(0, elements.length)).toEqual(elements);
    expect(extended).toHaveLength(elements.length + 1);
    const decoded = codec.decode(packr.pack(extended.slice(0, elements.length))).unwrap();
    expect(decoded).toMatchObject({ snapshot: before });
  });

  it.each([-2, Number.NaN, '5', null])(
    'with an invalid start of a limited process is refused, %j',
    (startedAtMs) => {
      const limits = [{ endpoint: 'e', perSecond: 1, ageMs: 1, startedAtMs }];
      const snapshot = { ...createSnapshot(1), limits } as unknown as WorkSnapshot;
      expect(codec.decode(codec.encode(snapshot, 'named')).err).toBe(true);
    },
  );

  it.each<SnapshotFormat>(['named', 'compact'])('tells who leaves, %s', (format) => {
    const leaving = [
      { endpoint: 'i-20000003', startedAtMs: 1_764_820_800_123, ageMs: 40 },
      { endpoint: 'i-20000004', startedAtMs: 1_764_820_900_456, ageMs: 90_000 },
    ];
    const snapshot = { ...createSnapshot(3), leaving };
    const bytes = codec.encode(snapshot, format);
    expect(codec.decode(bytes).unwrap()).toMatchObject({ snapshot });
    if (format === 'compact')
      expect(bytes.length + DATAGRAM_HEADER_BYTES).toBeLessThan(estimateDatagramBytes(snapshot));
  });

  it('keeps the elements that earlier builds read where endpoints leave', () => {
    const packr = new Packr({ useRecords: false });
    const unpack = (snapshot: WorkSnapshot): unknown[] =>
      packr.unpack(codec.encode(snapshot, 'compact')) as unknown[];
    const leaving = [{ endpoint: 'i-20000003', startedAtMs: 5, ageMs: 40 }];
    const elements = unpack(createSnapshot(3));
    const withLeaving = unpack({ ...createSnapshot(3), leaving });
    expect(withLeaving.slice(0, elements.length)).toEqual(elements);
    expect(withLeaving).toHaveLength(elements.length + 1);
  });

  it.each([
    [{ endpoint: 7, startedAtMs: 1, ageMs: 1 }],
    [{ endpoint: 'e', startedAtMs: undefined, ageMs: 1 }],
    [{ endpoint: 'e', startedAtMs: 1, ageMs: -1 }],
  ])('with an invalid endpoint that leaves is refused, %j', (observation) => {
    const snapshot = { ...createSnapshot(1), leaving: [observation] } as unknown as WorkSnapshot;
    expect(codec.decode(codec.encode(snapshot, 'named')).err).toBe(true);
    expect(codec.decode(codec.encode(snapshot, 'compact')).err).toBe(true);
  });

  it.each<SnapshotFormat>(['named', 'compact'])('tells what crashes engines, %s', (format) => {
    const harm = [
      {
        suspect: 'savorywind-pool/llm/91bd3f06',
        depth: 1,
        crashes: [
          { process: 4_294_967_295, request: 4_294_967_294, tookMs: 900_000, ageMs: 3_600_000 },
          { process: 7, request: 8, tookMs: 125, ageMs: 40 },
        ],
        begunAgeMs: undefined,
        triedAgeMs: 1_000,
      },
      { suspect: 'b/m/5c', depth: 0, crashes: [], begunAgeMs: 5, triedAgeMs: undefined },
    ];
    const snapshot = { ...createSnapshot(3), harm };
    const bytes = codec.encode(snapshot, format);
    expect(codec.decode(bytes).unwrap()).toMatchObject({ snapshot });
    if (format === 'compact')
      expect(bytes.length + DATAGRAM_HEADER_BYTES).toBeLessThan(estimateDatagramBytes(snapshot));
  });

  it.each([
    [{ suspect: 'x'.repeat(256), depth: 1, crashes: [] }],
    [{ suspect: 's', depth: -1, crashes: [] }],
    [{ suspect: 's', depth: 1, crashes: [{ process: 'p', request: 1, tookMs: 1, ageMs: 1 }] }],
    [{ suspect: 's', depth: 1, crashes: [{ process: 1, request: 1, ageMs: 1 }] }],
    [{ suspect: 's', depth: 1, crashes: [{ process: 1, tookMs: 1, ageMs: 1 }] }],
    [{ suspect: 's', depth: 1, crashes: [{ process: 1, request: 1, tookMs: 1, ageMs: -1 }] }],
    [{ suspect: 's', depth: 1, crashes: [], begunAgeMs: Number.NaN }],
    [
      {
        suspect: 's',
        depth: 1,
        crashes: Array(65).fill({ process: 1, request: 1, tookMs: 1, ageMs: 1 }),
      },
    ],
  ])('with an invalid suspect is refused, %j', (observation) => {
    const snapshot = { ...createSnapshot(1), harm: [observation] } as unknown as WorkSnapshot;
    expect(codec.decode(codec.encode(snapshot, 'named')).err).toBe(true);
    expect(codec.decode(codec.encode(snapshot, 'compact')).err).toBe(true);
  });

  it('in the compact form takes a third of the bytes of the named form, or less', () => {
    const named = codec.encode(createSnapshot(30), 'named').length;
    const compact = codec.encode(createSnapshot(30), 'compact').length;
    expect(compact).toBeLessThan(named / 3);
  });
});

describe('a message about a permit', () => {
  const codec = new SnapshotCodec();
  const limit = { endpoint: 'i-1', perSecond: 1.5, ageMs: 20 };
  const replyTo = { host: HOST, port: 7_000 };
  const request = { permitId: 'vm-1.1.7', replyTo, limit, maxDelayMs: 900 };
  const answer = { permitId: 'vm-1.1.7', outcome: 'granted', delayMs: 12.5 } as const;

  it.each<PermitMessage>([
    { kind: 'permit.request', request },
    { kind: 'permit.answer', answer },
  ])('is the same after decoding, $kind', (message) => {
    expect(codec.decode(codec.encodeMessage(message)).unwrap()).toEqual(message);
  });

  it.each([
    { kind: 'permit.request' },
    { kind: 'permit.request', request: { ...request, replyTo: {} } },
    { kind: 'permit.request', request: { ...request, maxDelayMs: -1 } },
    { kind: 'permit.answer', answer: { ...answer, outcome: 'perhaps' } },
    { kind: 'permit.answer', answer: { ...answer, permitId: undefined } },
  ])('with invalid fields is refused, %j', (message) => {
    const bytes = new Packr({ useRecords: false }).pack(message);
    expect(codec.decode(bytes).err).toBe(true);
  });
});

describe('the size of a compact snapshot', () => {
  it.each([0, 1, 78])(
    'is within what the limit of its traffic assumes, for %i engines',
    (engines) => {
      const name = 'n'.repeat(24);
      const { work, ...others } = createSnapshot(engines);
      const snapshot = {
        ...others,
        from: {
          id: name,
          failureDomain: name,
          address: { host: '255.255.255.255', port: 65_535 },
        },
        work: work.map((item) => ({ ...item, endpoint: name, readMs: 65_535 })),
        limits: work.map(() => ({ endpoint: name, perSecond: 1.3, ageMs: 4_000_000_000 })),
      };
      const bytes = new SnapshotCodec().encode(snapshot, 'compact').length + DATAGRAM_HEADER_BYTES;
      expect(bytes).toBeLessThanOrEqual(estimateDatagramBytes(snapshot));
    },
  );
});

describe('the form of a snapshot', () => {
  const codec = new SnapshotCodec();
  const packr = new Packr({ useRecords: false });
  let peer: Socket;
  let peerPort: number;
  let socket: PeerSocket;
  let socketPort: number;
  let onReceived = (): void => {};

  beforeEach(async () => {
    peer = createSocket('udp4').bind(0, HOST);
    await once(peer, 'listening');
    peerPort = peer.address().port;
    socketPort = await reservePort();
    socket = new PeerSocket({
      containment: new Containment(() => {}),
      address: { host: HOST, port: socketPort },
      onSnapshotReceived: () => onReceived(),
      onPermitMessage: () => {},
      onFailed: () => {},
    });
    await socket.start();
  });

  afterEach(() => {
    peer.close();
    socket.stop();
  });

  /** Delivers a datagram of the peer, and returns in which form the peer then gets a snapshot. */
  const exchange = async (datagram: Uint8Array): Promise<SnapshotFormat> => {
    const received = new Promise<void>((resolve) => {
      onReceived = resolve;
    });
    peer.send(datagram, socketPort, HOST);
    await received;
    socket.send(createSnapshot(1), [{ host: HOST, port: peerPort }]);
    const [bytes] = (await once(peer, 'message')) as [Buffer];
    return Array.isArray(packr.unpack(bytes)) ? 'compact' : 'named';
  };

  it('is named for a build that does not read the compact one, also after a newer build', async () => {
    const snapshot = createSnapshot(1, peerPort);
    expect(await exchange(packr.pack(snapshot))).toBe('named');
    expect(await exchange(codec.encode(snapshot, 'compact'))).toBe('compact');
    expect(await exchange(packr.pack(snapshot))).toBe('named');
  });

  it('is compact for a build that says that it reads it', async () => {
    const snapshot = createSnapshot(1, peerPort);
    expect(await exchange(codec.encode(snapshot, 'named'))).toBe('compact');
  });
});
