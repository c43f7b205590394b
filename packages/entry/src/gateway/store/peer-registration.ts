import type { GatewayPeer } from '@savorywind/model';
import type { GatewayRows } from '../types.js';
import type { TableClient, TableRow } from './types.js';

export interface PeerRegistrationOptions {
  readonly tables: TableClient;
  readonly rows: GatewayRows;
  readonly self: GatewayPeer;
  /** Called with all registered entry VMs each time they were read. */
  readonly onRead: (peers: readonly GatewayPeer[]) => void;
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
 */
export class PeerRegistration {
  private isStopped = false;

  private retryTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: PeerRegistrationOptions) {}

  /** Writes the row, and then reads those of all entry VMs. Is repeated until it succeeds. */
  async register(): Promise<void> {
    const { rows, tables, self } = this.options;
    const written = await tables.putRow(rows.peerTable, self.id, rows.encodePeer(self));
    const read = written.err ? undefined : await tables.readAll(rows.peerTable, READ_TIMEOUT_MS);
    if (read === undefined || read.err) this.retry(() => this.register());
    else this.report(read.val.rows);
  }

  /** Reads the rows of all entry VMs, and writes the own one again if it is missing or differs. */
  async renew(): Promise<void> {
    const { rows, tables, self } = this.options;
    const read = await tables.readAll(rows.peerTable, READ_TIMEOUT_MS);
    if (read.err) {
      this.retry(() => this.renew());
      return;
    }
    const own = read.val.rows.find(({ key, removed }) => key === self.id && !removed);
    if (own !== undefined && isSameValue(own.value, rows.encodePeer(self)))
      this.report(read.val.rows);
    else await this.register();
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.retryTimer);
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
    const { rows, onRead, onUnreadable } = this.options;
    const peers = tableRows
      .filter(({ removed }) => !removed)
      .flatMap((row) => {
        const peer = rows.decodePeer(row);
        if (peer === undefined) onUnreadable(row);
        return peer ?? [];
      });
    onRead(peers);
  }
}
