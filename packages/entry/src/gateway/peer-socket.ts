import { createSocket } from 'node:dgram';
import type { NetworkAddress, WorkSnapshot } from '@savorywind/model';
import type { Containment } from '../runtime/containment.js';
import { DatagramTime } from './datagram-time.js';
import type { PermitMessage } from './permit-messages.js';
import { SnapshotCodec, type SnapshotFormat } from './snapshot-codec.js';

const formatAddress = ({ host, port }: NetworkAddress): string => `${host}:${port}`;

/** Addresses of which the form is remembered; a sender can name any address. */
const MAX_COMPACT_READERS = 4_096;

/** Bytes of datagrams sent to and received from peers. */
export interface PeerTraffic {
  sentBytes: number;
  receivedBytes: number;
}

export interface PeerSocketOptions {
  readonly address: NetworkAddress;
  /** Called with each snapshot and the host from which it came, whoever it claims to be of. */
  readonly onSnapshotReceived: (snapshot: WorkSnapshot, host: string) => void;
  readonly onPermitMessage: (message: PermitMessage) => void;
  /** Called for a datagram that can't be decoded, and for an error of the socket. */
  readonly onFailed: (detail: string) => void;
  readonly containment: Containment;
}

/**
 * Exchanges work snapshots and messages about permits between entry VMs as UDP datagrams. Each snapshot replaces the sender's
 * earlier ones, so lost or late datagrams are not resent, and a slow peer delays no other.
 */
export class PeerSocket {
  private readonly socket = createSocket('udp4');

  private readonly codec = new SnapshotCodec();

  /** Addresses of peers that are known to read the compact form. */
  private readonly compactReaders = new Set<string>();

  private readonly time = new DatagramTime();

  /** Whether the last datagram was not read. */
  private isDropping = false;

  private readonly traffic: PeerTraffic = { sentBytes: 0, receivedBytes: 0 };

  constructor(private readonly options: PeerSocketOptions) {
    const { containment } = options;
    this.socket.on('message', (bytes, { address, port }) => {
      this.traffic.receivedBytes += bytes.length;
      const sender = `${address}:${port}`;
      const read = (): void => this.handleDatagram(bytes, address);
      const work = { work: 'peer.datagram', owner: 'peer' } as const;
      if (this.time.hasLeft(sender)) this.time.measure(sender, () => containment.run(work, read));
      else this.drop(sender);
    });
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
    const compact = peers.filter((peer) => this.compactReaders.has(formatAddress(peer)));
    const named = peers.filter((peer) => !this.compactReaders.has(formatAddress(peer)));
    this.sendAs('compact', snapshot, compact);
    this.sendAs('named', snapshot, named);
  }

  /** Sends a message about a permit to one peer. If it is lost, the sender of the request asks again. */
  sendMessage(message: PermitMessage, { host, port }: NetworkAddress): void {
    const bytes = this.codec.encodeMessage(message);
    this.sendTo({ host, port }, bytes);
  }

  stop(): void {
    this.socket.close();
  }

  private sendAs(
    format: SnapshotFormat,
    snapshot: WorkSnapshot,
    peers: readonly NetworkAddress[],
  ): void {
    if (peers.length === 0) return;
    const bytes = this.codec.encode(snapshot, format);
    peers.forEach((peer) => this.sendTo(peer, bytes));
  }

  /** An address that can't be sent to costs no other peer its datagram. */
  private sendTo(peer: NetworkAddress, bytes: Uint8Array): void {
    const work = { work: 'peer.send', owner: 'peer', ownerId: formatAddress(peer) } as const;
    this.options.containment.run(work, () => {
      // Errors of the network are ignored: the next snapshot replaces this one.
      this.socket.send(bytes, peer.port, peer.host, () => {});
      this.traffic.sentBytes += bytes.length;
    });
  }

  /** Reports the first datagram of a series that is not read. */
  private drop(sender: string): void {
    if (this.isDropping) return;
    this.isDropping = true;
    this.options.onFailed(`datagrams of ${sender} and others take too much time and are dropped`);
  }

  private handleDatagram(bytes: Buffer, host: string): void {
    this.isDropping = false;
    const decoded = this.codec.decode(bytes);
    if (decoded.err) {
      this.options.onFailed(decoded.val);
      return;
    }
    if (decoded.val.kind !== 'snapshot') {
      this.options.onPermitMessage(decoded.val);
      return;
    }
    const { snapshot, readsCompact } = decoded.val;
    this.recordFormat(snapshot.from.address, readsCompact);
    this.options.onSnapshotReceived(snapshot, host);
  }

  /** A peer that is replaced by an earlier build reads only the named form again. */
  private recordFormat(peer: NetworkAddress, readsCompact: boolean): void {
    // Peers send snapshots all the time, so that what is forgotten is known again soon.
    if (this.compactReaders.size >= MAX_COMPACT_READERS) this.compactReaders.clear();
    if (readsCompact) this.compactReaders.add(formatAddress(peer));
    else this.compactReaders.delete(formatAddress(peer));
  }
}
