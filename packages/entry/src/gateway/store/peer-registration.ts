import type { GatewayPeer } from '@savorywind/model';
import type { Containment } from '../../runtime/containment.js';
import type { GatewayRows } from '../types.js';
import type { TableClient, TableRow, TableRows } from './types.js';

/** What a reading of the registered entry VMs shows of the store's eras. */
export interface ReadEras {
  /** Era in which they were read; undefined if the store names none. */
  readonly storeEra: number | undefined;
  /** Latest era in which one of them had proof of its configuration; undefined if none is known of. */
  readonly provenEra: number | undefined;
}

export interface PeerRegistrationOptions {
  readonly tables: TableClient;
  readonly rows: GatewayRows;
  readonly self: GatewayPeer;
  readonly containment: Containment;
  /** Called with all registered entry VMs each time they were read. */
  readonly onRead: (peers: readonly GatewayPeer[], eras: ReadEras) => void;
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

  /**
   * Era in which this entry VM last had proof of its configuration. It is kept from the row of an earlier
   * process, as nothing else remembers it.
   */
  private provenEra: number | undefined;

  constructor(private readonly options: PeerRegistrationOptions) {}

  /** Writes the row, and then reads those of all entry VMs. Is repeated until it succeeds. */
  register(): Promise<void> {
    return this.attempt('registration.write', () => this.write());
  }

  /** Reads the rows of all entry VMs, and writes the own one again if it is missing or differs. */
  renew(): Promise<void> {
    return this.attempt('registration.read', () => this.readAndWrite());
  }

  /** Writes into the row in which era of the store this entry VM has proof of its configuration. */
  prove(era: number): Promise<void> {
    this.provenEra = era;
    this.hasReadRows = true;
    return this.attempt('registration.write', async () => {
      const { tables, rows, self } = this.options;
      const written = await tables.putRow(rows.peerTable, self.id, this.encodeOwn());
      if (written.err) this.retry(() => this.renew());
    });
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
    const written = await tables.putRow(rows.peerTable, self.id, this.encodeOwn());
    const read = written.err ? undefined : await tables.readAll(rows.peerTable, READ_TIMEOUT_MS);
    if (read === undefined || read.err) this.retry(() => this.register());
    else this.report(read.val);
  }

  private async readAndWrite(): Promise<void> {
    const { rows, tables, self } = this.options;
    const read = await tables.readAll(rows.peerTable, READ_TIMEOUT_MS);
    if (read.err) {
      this.retry(() => this.renew());
      return;
    }
    const own = read.val.rows.find(({ key, removed }) => key === self.id && !removed);
    if (own !== undefined && !this.hasReadRows) {
      this.provenEra ??= this.decodeProvenEra(own);
      this.options.onFoundRegistered?.();
    }
    this.hasReadRows = true;
    if (own !== undefined && isSameValue(own.value, this.encodeOwn())) this.report(read.val);
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

  private encodeOwn(): Uint8Array {
    const { rows, self } = this.options;
    return rows.encodePeer(self, this.provenEra);
  }

  private report({ rows: tableRows, era: storeEra }: TableRows): void {
    if (this.isStopped) return;
    const present = tableRows.filter(({ removed }) => !removed);
    const peers = present.flatMap((row) => this.decodePeer(row) ?? []);
    const eras = present.flatMap((row) => this.decodeProvenEra(row) ?? []);
    const provenEra = eras.length === 0 ? undefined : Math.max(...eras);
    this.options.onRead(peers, { storeEra, provenEra });
  }

  private decodePeer(row: TableRow): GatewayPeer | undefined {
    const peer = this.decode(row, this.options.rows.decodePeer);
    if (peer === undefined) this.options.onUnreadable(row);
    return peer;
  }

  private decodeProvenEra(row: TableRow): number | undefined {
    return this.decode(row, this.options.rows.decodeProvenEra);
  }

  /** A row that a decoder can't take says nothing of the other rows. */
  private decode<Value>(
    row: TableRow,
    decoder: (row: TableRow) => Value | undefined,
  ): Value | undefined {
    let value: Value | undefined;
    this.options.containment.run({ work: 'row.decode', owner: 'store', ownerId: row.key }, () => {
      value = decoder(row);
    });
    return value;
  }
}
