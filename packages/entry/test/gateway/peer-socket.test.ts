import { createSocket } from 'node:dgram';
import { Packr } from 'msgpackr';
import type { WorkSnapshot } from '@savorywind/model';
import { reservePort } from '@savorywind/stand-ins';
import { afterEach, describe, expect, it } from 'vitest';
import { Containment } from '../../src/runtime/containment.js';
import { PeerSocket } from '../../src/gateway/peer-socket.js';

const HOST = '127.0.0.1';
const packr = new Packr({ useRecords: false });

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
});

let stop = (): void => {};

afterEach(() => stop());

/** Sends datagrams to a socket and returns the snapshot or the error that it reports for each. */
const receive = async (...datagrams: readonly Uint8Array[]): Promise<(WorkSnapshot | string)[]> => {
  const port = await reservePort();
  const received: (WorkSnapshot | string)[] = [];
  let finish = (): void => {};
  const add = (value: WorkSnapshot | string): void => {
    received.push(value);
    if (received.length === datagrams.length) finish();
  };
  const socket = new PeerSocket({
    containment: new Containment(() => {}),
    address: { host: HOST, port },
    onSnapshotReceived: add,
    onPermitMessage: ({ kind }) => add(kind),
    onFailed: add,
  });
  await socket.start();
  const sender = createSocket('udp4');
  stop = () => {
    socket.stop();
    sender.close();
  };
  const all = new Promise<void>((resolve) => {
    finish = resolve;
  });
  datagrams.forEach((bytes) => sender.send(bytes, port, HOST));
  await all;
  return received;
};

describe('PeerSocket', () => {
  it('decodes a snapshot', async () => {
    expect(await receive(packr.pack(createSnapshot()))).toEqual([createSnapshot()]);
  });

  it.each([
    ['bytes that are not MessagePack', Buffer.from('hello')],
    ['an empty datagram', Buffer.alloc(0)],
    ['a snapshot without a sender', packr.pack({ ...createSnapshot(), from: undefined })],
    ['work that is not an array', packr.pack({ ...createSnapshot(), work: { length: 1 } })],
    ['negative work', packr.pack({ ...createSnapshot(), work: [{ endpoint: 'e', readMs: -1 }] })],
    ['null', packr.pack(null)],
    ['an array that is no snapshot', packr.pack([2, 'vm-2'])],
    ['a compact snapshot of another version', packr.pack([3, 'vm-2', 'b', HOST, 7_000, 1, 1, []])],
    ['compact work that is cut off', packr.pack([2, 'vm-2', 'b', HOST, 7_000, 1, 1, ['e1', 1]])],
  ])('reports and ignores an invalid datagram: %s', async (_name, bytes) => {
    const [failure] = await receive(bytes);
    expect(typeof failure).toBe('string');
  });
});

describe('a peer whose address can’t be used', () => {
  it('costs no other peer its snapshot', async () => {
    const receiver = createSocket('udp4');
    const port = await reservePort();
    await new Promise<void>((resolve) => {
      receiver.bind(port, HOST, resolve);
    });
    const failed: string[] = [];
    const sender = new PeerSocket({
      containment: new Containment(({ ownerId = '' }) => failed.push(ownerId)),
      address: { host: HOST, port: await reservePort() },
      onSnapshotReceived: () => {},
      onPermitMessage: () => {},
      onFailed: () => {},
    });
    await sender.start();
    stop = () => {
      receiver.close();
      sender.stop();
    };
    const received = new Promise((resolve) => {
      receiver.on('message', resolve);
    });
    sender.send(createSnapshot(), [
      { host: HOST, port: 80_800 },
      { host: HOST, port },
    ]);
    await received;
    expect(failed).toEqual([`${HOST}:80800`]);
  });
});
