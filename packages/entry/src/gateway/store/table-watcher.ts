import type { ReadTiming } from '@savorywind/decisions';
import csp, { type Channel } from 'js-csp';
import { Err, type Result } from '@savorywind/model';
import { describeError } from '../../observe/describe-error.js';
import type { Containment } from '../../runtime/containment.js';
import type { StoreEra } from './store-era.js';
import type { TableMirror } from './table-mirror.js';
import type { TableClient, TableFailure, TableRow, TableRows } from './types.js';

/**
 * One result of watching a table: all rows, the rows that changed, or a failed read. `requestedAtMs`
 * is the time at which the read was sent, on the watcher's clock.
 */
export type TableUpdate = { readonly requestedAtMs: number } & (
  | { readonly kind: 'snapshot' | 'changes'; readonly rows: readonly TableRow[] }
  | { readonly kind: 'failed'; readonly detail: string }
);

export interface TableWatcherOptions {
  readonly tables: TableClient;
  /** The rows as they were read last. Reads go on from its position. */
  readonly mirror: TableMirror;
  /**
   * Waits and pauses. Each result proves that the rows were current when it was requested; the result of a
   * long poll proves this only for the beginning of its wait.
   */
  readonly timing: ReadTiming;
  /** The era of the store, for all watchers of the process. */
  readonly era: StoreEra;
  readonly readClockMs: () => number;
  /** Called with each result, including failures. A lost history is handled and not reported. */
  readonly onUpdated: (update: TableUpdate) => void;
  readonly containment: Containment;
}

/** Pause after a failed read, in milliseconds; doubles with each consecutive failure. */
const INITIAL_BACKOFF_MS = 60;

const computeBackoffMs = (failures: number, maxMs: number): number =>
  Math.min(INITIAL_BACKOFF_MS * 2 ** (failures - 1), maxMs);

type ReadResult = Result<TableRows, TableFailure>;

interface PendingRead {
  readonly kind: 'snapshot' | 'changes';
  /** Era of the version from which changes are read. */
  readonly era: number | undefined;
  readonly requestedAtMs: number;
  readonly result: Promise<ReadResult>;
}

interface PollTiming {
  /** Pause before the first read. */
  readonly initialPauseMs: number;
  /** Pause after each successful read. */
  readonly pauseMs: number;
  /** Pause after a read that returned changes. */
  readonly changePauseMs: number;
}

/** Whether a read returned changes of the era from which it went on. */
const hasChanges = ({ kind, era }: PendingRead, result: ReadResult): boolean =>
  kind === 'changes' && result.ok && result.val.era === era && result.val.rows.length > 0;

const openChannel = (pending: Promise<ReadResult>): Channel<ReadResult> => {
  const channel = csp.chan<ReadResult>(csp.buffers.fixed(1));
  pending.then((result) => csp.putAsync(channel, result));
  return channel;
};

/**
 * Watches one table: reads all rows first, then only changes. Reads all rows again when the store's
 * history no longer covers the last known version, or when the store has begun a new era. Responses of an
 * older era are discarded. After a failed read the store is asked for an immediate answer, as what was lost
 * meanwhile must be known soon. After changes it pauses, so that many of them in a row, as when all engines of
 * a service are replaced, are read together instead of one a call. Retries failed reads until it is stopped.
 */
export class TableWatcher {
  private isStopped = false;

  /** Number of the current polls: those of an earlier number end after their read. */
  private pollNumber = 0;

  private isPaused = false;

  private isReadingNow = false;

  constructor(private readonly options: TableWatcherOptions) {}

  /** Begins to read, or goes on after a pause, with a read that is answered immediately. */
  start(): void {
    const { longPollMs, pollIntervalMs, changePauseMs } = this.options.timing;
    this.isPaused = false;
    this.pollNumber += 1;
    this.startPolling(longPollMs, { initialPauseMs: 0, pauseMs: 0, changePauseMs });
    if (pollIntervalMs === undefined) return;
    const pauseMs = pollIntervalMs;
    this.startPolling(0, { initialPauseMs: pauseMs, pauseMs, changePauseMs: pauseMs });
  }

  /** Sends no more reads until {@link start} is called again. */
  pause(): void {
    this.isPaused = true;
    this.pollNumber += 1;
  }

  stop(): void {
    this.isStopped = true;
    this.pause();
  }

  /** Sends one more read, which the store answers immediately, unless one of these is under way. */
  readNow(): void {
    if (this.isReadingNow || this.isPaused) return;
    this.isReadingNow = true;
    const read = this.startRead(0);
    read.result.then((result) => {
      this.isReadingNow = false;
      if (!this.isStopped) this.reportResult(read, result);
    });
  }

  /**
   * Reads repeatedly, one read at a time.
   *
   * @param waitMs how long the store may wait for a change; 0 for an immediate answer
   */
  private startPolling(waitMs: number, timing: PollTiming): void {
    const { initialPauseMs, pauseMs, changePauseMs } = timing;
    const startRead = (pollMs: number): PendingRead => this.startRead(pollMs);
    const handleResult = (read: PendingRead, result: ReadResult): boolean =>
      this.reportResult(read, result);
    const { pollNumber } = this;
    const isStopped = (): boolean => this.pollNumber !== pollNumber;
    const { maxBackoffMs } = this.options.timing;
    csp.go(function* pollTable() {
      let failures = 0;
      let isFirst = true;
      if (initialPauseMs > 0) yield csp.take(csp.timeout(initialPauseMs));
      while (!isStopped()) {
        const read = startRead(failures > 0 || isFirst ? 0 : waitMs);
        isFirst = false;
        const result: ReadResult = yield csp.take(openChannel(read.result));
        const hasFailed = !isStopped() && !handleResult(read, result);
        failures = hasFailed ? failures + 1 : 0;
        const successPauseMs = hasChanges(read, result) ? changePauseMs : pauseMs;
        const nextPauseMs = hasFailed ? computeBackoffMs(failures, maxBackoffMs) : successPauseMs;
        if (nextPauseMs > 0 && !isStopped()) yield csp.take(csp.timeout(nextPauseMs));
      }
    });
  }

  private startRead(waitMs: number): PendingRead {
    const { tables, mirror, readClockMs, era } = this.options;
    const { responseTimeoutMs } = this.options.timing;
    const requestedAtMs = readClockMs();
    const { table, position } = mirror;
    if (position === undefined || position.era !== era.current) {
      const result = this.call(() => tables.readAll(table, responseTimeoutMs));
      return { kind: 'snapshot', era: era.current, requestedAtMs, result };
    }
    const result = this.call(() =>
      tables.readChanges(table, position.version, waitMs, responseTimeoutMs),
    );
    return { kind: 'changes', era: position.era, requestedAtMs, result };
  }

  /** A read that throws or is rejected has got no answer. */
  private async call(read: () => Promise<ReadResult>): Promise<ReadResult> {
    try {
      return await read();
    } catch (error) {
      const { containment, mirror } = this.options;
      containment.record({ work: 'store.read', owner: 'store', ownerId: mirror.table }, error);
      return Err({ kind: 'unanswered', detail: describeError(error).detail, era: undefined });
    }
  }

  /**
   * Reports the outcome of a read. If that throws, the read has failed and is repeated: otherwise the table
   * would not be read any more.
   *
   * @returns false if the next read must wait for the backoff
   */
  private reportResult(read: PendingRead, result: ReadResult): boolean {
    const { containment, mirror } = this.options;
    let isAnswered = false;
    containment.run({ work: 'store.rows', owner: 'store', ownerId: mirror.table }, () => {
      isAnswered = this.handleResult(read, result);
    });
    return isAnswered;
  }

  /** @returns false if the next read must wait for the backoff */
  private handleResult(read: PendingRead, result: ReadResult): boolean {
    const { onUpdated, era } = this.options;
    const relation = era.observe(result.val.era);
    if (relation === 'older') return false;
    if (result.err) return this.handleFailure(read, result.val);
    if (relation === 'missing') {
      const detail = 'response names no era of the store';
      onUpdated({ kind: 'failed', detail, requestedAtMs: read.requestedAtMs });
      return false;
    }
    // Changes since a version of an older era: rows may be missing.
    if (read.kind === 'changes' && read.era !== era.current) return true;
    const { kind, requestedAtMs } = read;
    const { rows, version } = result.val;
    const isNew = this.options.mirror.apply(
      { kind, rows },
      { version, era: result.val.era },
      requestedAtMs,
    );
    if (isNew) onUpdated({ kind, rows, requestedAtMs });
    else onUpdated({ kind: 'changes', rows: [], requestedAtMs });
    return true;
  }

  /** A store that has no history for a read of all rows is asked again only after a pause. */
  private handleFailure(
    { kind: readKind, requestedAtMs }: PendingRead,
    { kind, detail }: TableFailure,
  ): boolean {
    if (kind === 'historyLost') {
      this.options.mirror.reset();
      return readKind === 'changes';
    }
    this.options.onUpdated({ kind: 'failed', detail, requestedAtMs });
    return false;
  }
}
