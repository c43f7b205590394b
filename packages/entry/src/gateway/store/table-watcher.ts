import csp, { type Channel } from 'js-csp';
import type { Result } from '@savorywind/model';
import type { TableClient, TableFailure, TableRow, TableRows } from './types.js';

/**
 * One result of watching a table: all rows, the rows that changed, or a failed read. `requestedAtMs`
 * is the time at which the read was sent, on the watcher's clock.
 */
export type TableUpdate =
  | {
      readonly kind: 'snapshot';
      readonly rows: readonly TableRow[];
      readonly requestedAtMs: number;
    }
  | { readonly kind: 'changes'; readonly rows: readonly TableRow[]; readonly requestedAtMs: number }
  | { readonly kind: 'failed'; readonly detail: string };

export interface TableWatcherOptions {
  readonly tables: TableClient;
  readonly table: string;
  /** How long the store may wait for a change before it answers a read, in milliseconds. */
  readonly longPollMs: number;
  /**
   * Pause between additional reads that the store answers immediately, in milliseconds; undefined for
   * none. Each result proves that the rows were current when it was requested; the result of a long
   * poll proves this only for the beginning of its wait. Results may arrive out of order, so the rows
   * of the table must tell which one is newer.
   */
  readonly pollIntervalMs: number | undefined;
  readonly readClockMs: () => number;
  /** Called with each result, including failures. A lost history is handled and not reported. */
  readonly onUpdated: (update: TableUpdate) => void;
}

/** Pause after a failed read, in milliseconds; doubles with each consecutive failure. */
const INITIAL_BACKOFF_MS = 60;

/**
 * Longest pause after a failed read, in milliseconds. Much shorter than the time within which changes
 * must apply, so that a store that is available again is noticed early enough.
 */
const MAX_BACKOFF_MS = 400;

const computeBackoffMs = (failures: number): number =>
  Math.min(INITIAL_BACKOFF_MS * 2 ** (failures - 1), MAX_BACKOFF_MS);

type ReadResult = Result<TableRows, TableFailure>;

interface PendingRead {
  readonly kind: 'snapshot' | 'changes';
  readonly requestedAtMs: number;
  readonly result: Promise<ReadResult>;
}

interface PollTiming {
  /** Pause before the first read. */
  readonly initialPauseMs: number;
  /** Pause after each successful read. */
  readonly pauseMs: number;
}

const openChannel = (pending: Promise<ReadResult>): Channel<ReadResult> => {
  const channel = csp.chan<ReadResult>(csp.buffers.fixed(1));
  pending.then((result) => csp.putAsync(channel, result));
  return channel;
};

/**
 * Watches one table: reads all rows first, then only changes. Reads all rows again when the store's
 * history no longer covers the last known version. Retries failed reads until it is stopped.
 */
export class TableWatcher {
  private isStopped = false;

  private version: number | undefined;

  constructor(private readonly options: TableWatcherOptions) {}

  start(): void {
    const { longPollMs, pollIntervalMs } = this.options;
    this.startPolling(longPollMs, { initialPauseMs: 0, pauseMs: 0 });
    if (pollIntervalMs === undefined) return;
    this.startPolling(0, { initialPauseMs: pollIntervalMs, pauseMs: pollIntervalMs });
  }

  stop(): void {
    this.isStopped = true;
  }

  /**
   * Reads repeatedly, one read at a time.
   *
   * @param waitMs how long the store may wait for a change; 0 for an immediate answer
   */
  private startPolling(waitMs: number, { initialPauseMs, pauseMs }: PollTiming): void {
    const startRead = (): PendingRead => this.startRead(waitMs);
    const handleResult = (read: PendingRead, result: ReadResult): boolean =>
      this.handleResult(read, result);
    const isStopped = (): boolean => this.isStopped;
    csp.go(function* pollTable() {
      let failures = 0;
      if (initialPauseMs > 0) yield csp.take(csp.timeout(initialPauseMs));
      while (!isStopped()) {
        const read = startRead();
        const result: ReadResult = yield csp.take(openChannel(read.result));
        const hasFailed = !isStopped() && !handleResult(read, result);
        failures = hasFailed ? failures + 1 : 0;
        const nextPauseMs = hasFailed ? computeBackoffMs(failures) : pauseMs;
        if (nextPauseMs > 0 && !isStopped()) yield csp.take(csp.timeout(nextPauseMs));
      }
    });
  }

  private startRead(waitMs: number): PendingRead {
    const { tables, table, readClockMs } = this.options;
    const { version } = this;
    const requestedAtMs = readClockMs();
    if (version === undefined)
      return { kind: 'snapshot', requestedAtMs, result: tables.readAll(table) };
    const result = tables.readChanges(table, version, waitMs);
    return { kind: 'changes', requestedAtMs, result };
  }

  /** @returns false if the next read must wait for the backoff */
  private handleResult({ kind, requestedAtMs }: PendingRead, result: ReadResult): boolean {
    const { onUpdated } = this.options;
    if (result.err) return this.handleFailure(result.val);
    const { version, rows } = result.val;
    // Of two overlapping reads, the older result may arrive last.
    this.version = Math.max(this.version ?? version, version);
    onUpdated({ kind, rows, requestedAtMs });
    return true;
  }

  private handleFailure({ kind, detail }: TableFailure): boolean {
    if (kind === 'historyLost') {
      this.version = undefined;
      return true;
    }
    this.options.onUpdated({ kind: 'failed', detail });
    return false;
  }
}
