import { createSocket } from 'node:dgram';
import { Packr } from 'msgpackr';
import type { NetworkAddress, WorkSnapshot } from '@savorywind/model';
import { z } from 'zod';

const text = z.string().max(256);
const amount = z.number().nonnegative();

const snapshotSchema = z.object({
  from: z.object({
    id: text,
    failureDomain: text,
    address: z.object({ host: text, port: z.int().min(1).max(65_535) }),
  }),
  incarnation: amount,
  sequence: amount,
  work: z
    .array(
      z.object({
        endpoint: text,
        writers: amount,
        tightWriters: amount,
        tightGapMs: amount,
        readers: amount,
        longReaders: amount,
        readMs: amount,
        memoryTokens: amount,
      }),
    )
    .max(4_096),
});

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
      const parsed = snapshotSchema.safeParse(this.packr.unpack(bytes));
      if (parsed.success) this.options.onSnapshot(parsed.data);
      else this.options.onUnreadable(parsed.error.message);
    } catch (fault) {
      this.options.onUnreadable((fault as Error).message);
    }
  }
}
