import { createSocket } from 'node:dgram';
import { Packr } from 'msgpackr';
import type { EngineWork, GatewayPeer, NetworkAddress, WorkSnapshot } from '@savorywind/model';

/** Engines that one snapshot may list; a larger fleet needs another message format. */
const MAX_ENGINES = 4_096;

const isShortString = (value: unknown): value is string =>
  typeof value === 'string' && value.length < 256;

const isNonNegative = (value: unknown): value is number =>
  typeof value === 'number' && Number.isFinite(value) && value >= 0;

const isPeer = (value: Partial<GatewayPeer> | undefined): boolean =>
  isShortString(value?.id) &&
  isShortString(value.failureDomain) &&
  isShortString(value.address?.host) &&
  isNonNegative(value.address.port);

const isWork = (value: Partial<EngineWork> | undefined): boolean =>
  isShortString(value?.endpoint) &&
  isNonNegative(value.writers) &&
  isNonNegative(value.tightWriters) &&
  isNonNegative(value.tightGapMs) &&
  isNonNegative(value.readers) &&
  isNonNegative(value.longReaders) &&
  isNonNegative(value.readMs) &&
  isNonNegative(value.memoryTokens);

/**
 * Checked by hand: hundreds of snapshots arrive per second, and a schema library would cost more time
 * than placing requests does.
 */
const isSnapshot = (value: unknown): value is WorkSnapshot => {
  const snapshot = value as Partial<WorkSnapshot> | undefined;
  return (
    isPeer(snapshot?.from) &&
    isNonNegative(snapshot?.incarnation) &&
    isNonNegative(snapshot?.sequence) &&
    Array.isArray(snapshot?.work) &&
    snapshot.work.length <= MAX_ENGINES &&
    snapshot.work.every(isWork)
  );
};

/** Bytes of datagrams sent to and received from peers. */
export interface PeerTraffic {
  sentBytes: number;
  receivedBytes: number;
}

export interface PeerSocketOptions {
  readonly address: NetworkAddress;
  readonly onSnapshotReceived: (snapshot: WorkSnapshot) => void;
  /** Called for a datagram that can't be decoded, and for an error of the socket. */
  readonly onFailed: (detail: string) => void;
}

/**
 * Exchanges work snapshots between entry VMs as UDP datagrams. Each snapshot replaces the sender's
 * earlier ones, so lost or late datagrams are not resent, and a slow peer delays no other.
 */
export class PeerSocket {
  private readonly socket = createSocket('udp4');

  private readonly packr = new Packr({ useRecords: false });

  private readonly traffic: PeerTraffic = { sentBytes: 0, receivedBytes: 0 };

  constructor(private readonly options: PeerSocketOptions) {
    this.socket.on('message', (bytes) => this.handleDatagram(bytes));
    this.socket.on('error', (error) => options.onFailed(error.message));
  }

  /** Bytes of all datagrams since the start, without the headers of the network. */
  get trafficBytes(): Readonly<PeerTraffic> {
    return this.traffic;
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
    this.traffic.sentBytes += bytes.length * peers.length;
    // Errors are ignored: the next snapshot replaces this one.
    peers.forEach(({ host, port }) => this.socket.send(bytes, port, host, () => {}));
  }

  stop(): void {
    this.socket.close();
  }

  private handleDatagram(bytes: Buffer): void {
    this.traffic.receivedBytes += bytes.length;
    try {
      const value: unknown = this.packr.unpack(bytes);
      if (isSnapshot(value)) this.options.onSnapshotReceived(value);
      else this.options.onFailed('datagram is not a work snapshot');
    } catch (error) {
      this.options.onFailed((error as Error).message);
    }
  }
}
