import type { GatewayPeer } from '@savorywind/model';
import type { Containment } from '../../runtime/containment.js';
import type { GatewayRows } from '../types.js';
import type { TableClient, TableRow } from './types.js';

export interface PeerRegistrationOptions {
  readonly tables: TableClient;
  readonly rows: GatewayRows;
  readonly self: GatewayPeer;
  readonly containment: Containment;
  /** Called with all registered entry VMs each time they were read. */
  readonly onRead: (peers: readonly GatewayPeer[]) => void;
  /** Called once if the row was there before this process has written it: it was started again. */
  readonly onFoundRegistered?: () => void;
  /** Called with each row that can't be decoded, and is ignored. */
  readonly onUnreadable: (row: TableRow) => void;
}

/** Time for each response to a read of the entry VMs, in milliseconds. */
const READ_TIMEOUT_MS = 700;

/** Pause before a failed call is repeated, in milliseconds. */
const RETRY_MS = 500;

const isSameValue = (a: Uint8Array, b: Uint8Array): boolean => Buffer.compare(a, b) === 0;

/**
 * The row by which this entry VM makes itself known to the others in the store. A row is always written
 * before all are read, so that of two entry VMs that register concurrently at least one sees the other.
 * The row of an earlier process with the same address is as good as one's own.
 */
export class PeerRegistration {
  private isStopped = false;

  /** Whether the rows were read before this process has written its own. */
  private hasReadRows = false;

  private retryTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: PeerRegistrationOptions) {}

  /** Writes the row, and then reads those of all entry VMs. Is repeated until it succeeds. */
  register(): Promise<void> {
    return this.attempt('registration.write', () => this.write());
  }

  /** Reads the rows of all entry VMs, and writes the own one again if it is missing or differs. */
  renew(): Promise<void> {
    return this.attempt('registration.read', () => this.readAndWrite());
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.retryTimer);
  }

  /** Makes calls to the store; if they throw, they are made again. */
  private async attempt(work: string, call: () => Promise<void>): Promise<void> {
    try {
      await call();
    } catch (error) {
      this.options.containment.record({ work, owner: 'store' }, error);
      this.retry(() => this.renew());
    }
  }

  private async write(): Promise<void> {
    const { rows, tables, self } = this.options;
    this.hasReadRows = true;
    const written = await tables.putRow(rows.peerTable, self.id, rows.encodePeer(self));
    const read = written.err ? undefined : await tables.readAll(rows.peerTable, READ_TIMEOUT_MS);
    if (read === undefined || read.err) this.retry(() => this.register());
    else this.report(read.val.rows);
  }

  private async readAndWrite(): Promise<void> {
    const { rows, tables, self } = this.options;
    const read = await tables.readAll(rows.peerTable, READ_TIMEOUT_MS);
    if (read.err) {
      this.retry(() => this.renew());
      return;
    }
    const own = read.val.rows.find(({ key, removed }) => key === self.id && !removed);
    if (own !== undefined && !this.hasReadRows) this.options.onFoundRegistered?.();
    this.hasReadRows = true;
    if (own !== undefined && isSameValue(own.value, rows.encodePeer(self)))
      this.report(read.val.rows);
    else await this.register();
  }

  /** Of several calls that failed, only the last one is repeated. */
  private retry(call: () => Promise<void>): void {
    if (this.isStopped) return;
    clearTimeout(this.retryTimer);
    this.retryTimer = setTimeout(() => {
      call();
    }, RETRY_MS).unref();
  }

  private report(tableRows: readonly TableRow[]): void {
    if (this.isStopped) return;
    const peers = tableRows
      .filter(({ removed }) => !removed)
      .flatMap((row) => this.decodePeer(row) ?? []);
    this.options.onRead(peers);
  }

  /** A row that a decoder can't take says nothing of the other rows. */
  private decodePeer(row: TableRow): GatewayPeer | undefined {
    const { rows, containment, onUnreadable } = this.options;
    let peer: GatewayPeer | undefined;
    containment.run({ work: 'row.decode', owner: 'store', ownerId: row.key }, () => {
      peer = rows.decodePeer(row);
    });
    if (peer === undefined) onUnreadable(row);
    return peer;
  }
}
