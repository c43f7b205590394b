import { createSocket } from 'node:dgram';
import { Packr } from 'msgpackr';
import type { EngineWork, GatewayPeer, NetworkAddress, WorkSnapshot } from '@savorywind/model';

/** Engines that one snapshot may name; a larger fleet needs another message. */
const MAX_ENGINES = 4_096;

const isText = (value: unknown): value is string => typeof value === 'string' && value.length < 256;

const isAmount = (value: unknown): value is number =>
  typeof value === 'number' && Number.isFinite(value) && value >= 0;

const isPeer = (value: Partial<GatewayPeer> | undefined): boolean =>
  isText(value?.id) &&
  isText(value.failureDomain) &&
  isText(value.address?.host) &&
  isAmount(value.address.port);

const isWork = (value: Partial<EngineWork> | undefined): boolean =>
  isText(value?.endpoint) &&
  isAmount(value.writers) &&
  isAmount(value.tightWriters) &&
  isAmount(value.tightGapMs) &&
  isAmount(value.readers) &&
  isAmount(value.longReaders) &&
  isAmount(value.readMs) &&
  isAmount(value.memoryTokens);

/** Hundreds of snapshots come in a second, so that a schema library would cost more than placing. */
const isSnapshot = (value: unknown): value is WorkSnapshot => {
  const snapshot = value as Partial<WorkSnapshot> | undefined;
  return (
    isPeer(snapshot?.from) &&
    isAmount(snapshot?.incarnation) &&
    isAmount(snapshot?.sequence) &&
    Array.isArray(snapshot?.work) &&
    snapshot.work.length <= MAX_ENGINES &&
    snapshot.work.every(isWork)
  );
};

export interface PeerSocketOptions {
  readonly address: NetworkAddress;
  readonly onSnapshot: (snapshot: WorkSnapshot) => void;
  readonly onUnreadable: (detail: string) => void;
}

/**
 * Snapshots of work between entry VMs, as datagrams: each replaces the ones before, so that one that
 * is lost or late needs no repeat, and a link that hangs holds nothing back.
 */
export class PeerSocket {
  private readonly socket = createSocket('udp4');

  private readonly packr = new Packr({ useRecords: false });

  constructor(private readonly options: PeerSocketOptions) {
    this.socket.on('message', (bytes) => this.accept(bytes));
    this.socket.on('error', (fault) => options.onUnreadable(fault.message));
  }

  start(): Promise<void> {
    const { host, port } = this.options.address;
    return new Promise((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(port, host, resolve);
    });
  }

  send(snapshot: WorkSnapshot, peers: readonly NetworkAddress[]): void {
    const bytes = this.packr.pack(snapshot);
    // A datagram that can't be sent is as good as lost; the next snapshot replaces it.
    peers.forEach(({ host, port }) => this.socket.send(bytes, port, host, () => {}));
  }

  stop(): void {
    this.socket.close();
  }

  private accept(bytes: Buffer): void {
    try {
      const value: unknown = this.packr.unpack(bytes);
      if (isSnapshot(value)) this.options.onSnapshot(value);
      else this.options.onUnreadable('not a snapshot');
    } catch (fault) {
      this.options.onUnreadable((fault as Error).message);
    }
  }
}
