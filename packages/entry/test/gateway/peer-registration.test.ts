import { Err, Ok, type GatewayPeer, type Result } from '@savorywind/model';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Containment } from '../../src/runtime/containment.js';
import { PeerRegistration, type ReadEras } from '../../src/gateway/store/peer-registration.js';
import type { TableClient, TableFailure, TableRow } from '../../src/gateway/store/types.js';
import type { GatewayRows } from '../../src/gateway/types.js';

const createPeer = (id: string, port = 7_000): GatewayPeer => ({
  id,
  failureDomain: 'a',
  address: { host: '127.0.0.1', port },
});

const encodePeer = (peer: GatewayPeer, provenEra?: number): Uint8Array =>
  Buffer.from(JSON.stringify({ ...peer, provenEra }));

const rows = {
  peerTable: 'peers',
  encodePeer,
  decodePeer: ({ value }: TableRow) =>
    JSON.parse(Buffer.from(value).toString()) as GatewayPeer | undefined,
  decodeProvenEra: ({ value }: TableRow) =>
    (JSON.parse(Buffer.from(value).toString()) as { provenEra?: number }).provenEra,
} as GatewayRows;

const REFUSED: TableFailure = { kind: 'refused', detail: 'test', era: undefined };

/** A table of peers in memory that records its calls. */
class PeerTableStandIn {
  readonly stored = new Map<string, Uint8Array>();

  readonly calls: string[] = [];

  failures = 0;

  era: number | undefined;

  readonly client: TableClient = {
    readAll: () => this.answer('read', { rows: this.listRows(), version: 1, era: this.era }),
    readChanges: () => new Promise(() => {}),
    putRow: (_table, key, value) => {
      const answer = this.answer<void>('put', undefined);
      if (this.failures === 0) this.stored.set(key, value);
      return answer;
    },
    removeRow: () => Promise.resolve(Ok(undefined)),
    stop: () => {},
  };

  private listRows(): TableRow[] {
    return [...this.stored].map(([key, value]) => ({ key, value, removed: false }));
  }

  private answer<Value>(call: string, value: Value): Promise<Result<Value, TableFailure>> {
    this.calls.push(call);
    if (this.failures === 0) return Promise.resolve(Ok(value));
    this.failures -= 1;
    return Promise.resolve(Err(REFUSED));
  }
}

let table: PeerTableStandIn;
let registration: PeerRegistration;
let reads: (readonly string[])[];
let unreadable: string[];
let notifyRead = (): void => {};
let foundRegistered: number;
let eras: ReadEras | undefined;

beforeEach(() => {
  table = new PeerTableStandIn();
  reads = [];
  foundRegistered = 0;
  unreadable = [];
  registration = new PeerRegistration({
    containment: new Containment(() => {}),
    tables: table.client,
    rows,
    self: createPeer('vm-1'),
    onRead: (peers, readEras) => {
      eras = readEras;
      reads.push(peers.map(({ id }) => id));
      notifyRead();
    },
    onFoundRegistered: () => {
      foundRegistered += 1;
    },
    onUnreadable: ({ key }) => unreadable.push(key),
  });
});

afterEach(() => registration.stop());

describe('the row of an entry VM', () => {
  it('is written before the others are read', async () => {
    table.stored.set('vm-2', encodePeer(createPeer('vm-2')));
    await registration.register();
    expect(table.calls).toEqual(['put', 'read']);
    expect(reads).toEqual([['vm-2', 'vm-1']]);
  });

  it('is not written again while it is there', async () => {
    table.stored.set('vm-1', encodePeer(createPeer('vm-1')));
    await registration.renew();
    expect(table.calls).toEqual(['read']);
    expect(reads).toEqual([['vm-1']]);
  });

  it.each([
    ['missing', undefined],
    ['that of an earlier process', encodePeer(createPeer('vm-1', 6_000))],
  ])('is written again if it is %s', async (_case, value) => {
    if (value !== undefined) table.stored.set('vm-1', value);
    await registration.renew();
    expect(table.calls).toEqual(['read', 'put', 'read']);
    expect(table.stored.get('vm-1')).toEqual(encodePeer(createPeer('vm-1')));
  });

  it('is tried again after a refusal', async () => {
    table.failures = 1;
    const read = new Promise<void>((resolve) => {
      notifyRead = resolve;
    });
    await registration.renew();
    await read;
    expect(table.calls).toEqual(['read', 'read', 'put', 'read']);
  });
});

describe('an entry VM that was started again', () => {
  it('is told from one that starts for the first time, with one call to the store', async () => {
    table.stored.set('vm-1', encodePeer(createPeer('vm-1')));
    await registration.renew();
    expect(foundRegistered).toBe(1);
    expect(table.calls).toEqual(['read']);
  });

  it('is told by its row even if its address has changed', async () => {
    table.stored.set('vm-1', encodePeer(createPeer('vm-1', 6_000)));
    await registration.renew();
    await registration.renew();
    expect(foundRegistered).toBe(1);
  });

  it('is not taken from the row that this process has written', async () => {
    await registration.renew();
    await registration.renew();
    await registration.register();
    await registration.renew();
    expect(foundRegistered).toBe(0);
  });

  it('is told also if the store answers late', async () => {
    table.stored.set('vm-1', encodePeer(createPeer('vm-1')));
    table.failures = 1;
    const read = new Promise<void>((resolve) => {
      notifyRead = resolve;
    });
    await registration.renew();
    await read;
    expect(foundRegistered).toBe(1);
  });
});

describe('the row of another entry VM that can not be decoded', () => {
  it('is reported, and costs no other', async () => {
    table.stored.set('vm-2', encodePeer(createPeer('vm-2')));
    const decodable = rows.decodePeer.bind(rows);
    const decodePeer = (row: TableRow): GatewayPeer | undefined =>
      row.key === 'bad' ? undefined : decodable(row);
    Object.assign(rows, { decodePeer });
    table.stored.set('bad', Buffer.from('{'));
    await registration.register();
    Object.assign(rows, { decodePeer: decodable });
    expect(unreadable).toEqual(['bad']);
    expect(reads).toEqual([['vm-2', 'vm-1']]);
  });
});

describe('the eras of the store in which entry VMs had proof of their configuration', () => {
  const readEras = async (): Promise<ReadEras | undefined> => {
    await registration.renew();
    return eras;
  };

  it('are read with the era of the store, and the latest counts', async () => {
    table.era = 3;
    table.stored.set('vm-2', encodePeer(createPeer('vm-2'), 2));
    table.stored.set('vm-3', encodePeer(createPeer('vm-3'), 1));
    expect(await readEras()).toEqual({ storeEra: 3, provenEra: 2 });
  });

  it('are none if no row tells of one', async () => {
    table.stored.set('vm-2', encodePeer(createPeer('vm-2')));
    expect(await readEras()).toEqual({ storeEra: undefined, provenEra: undefined });
  });

  it('include that of an earlier process of this VM, which its row goes on to tell', async () => {
    table.stored.set('vm-1', encodePeer(createPeer('vm-1', 6_000), 2));
    expect((await readEras())?.provenEra).toBe(2);
    expect(table.stored.get('vm-1')).toEqual(encodePeer(createPeer('vm-1'), 2));
  });

  it('are told with one call as soon as there is proof in a later one', async () => {
    await registration.renew();
    table.calls.length = 0;
    await registration.prove(4);
    expect(table.calls).toEqual(['put']);
    expect(table.stored.get('vm-1')).toEqual(encodePeer(createPeer('vm-1'), 4));
  });
});
