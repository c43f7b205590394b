import { createSocket } from 'node:dgram';
import type { NetworkAddress, WorkSnapshot } from '@savorywind/model';
import { SnapshotCodec } from './snapshot-codec.js';

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

  private readonly codec = new SnapshotCodec();

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
    const bytes = this.codec.encode(snapshot);
    this.traffic.sentBytes += bytes.length * peers.length;
    // Errors are ignored: the next snapshot replaces this one.
    peers.forEach(({ host, port }) => this.socket.send(bytes, port, host, () => {}));
  }

  stop(): void {
    this.socket.close();
  }

  private handleDatagram(bytes: Buffer): void {
    this.traffic.receivedBytes += bytes.length;
    const decoded = this.codec.decode(bytes);
    if (decoded.ok) this.options.onSnapshotReceived(decoded.val);
    else this.options.onFailed(decoded.val);
  }
}
