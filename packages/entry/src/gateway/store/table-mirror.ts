import type { TableRow } from './types.js';

/** A version of the store, and the era in which it counts. */
export interface TablePosition {
  readonly version: number;
  /** Undefined if the store names no era. */
  readonly era: number | undefined;
}

/** All rows of a table, or those that changed, up to a version. */
export interface TableContent {
  readonly kind: 'snapshot' | 'changes';
  readonly rows: readonly TableRow[];
}

interface MirroredRow {
  readonly row: TableRow;
  /** Version of the response with which the row came last. */
  readonly version: number;
}

/** Removed rows that are remembered; readers that lag further behind get all rows. */
const MAX_REMOVED_ROWS = 256;

/**
 * The rows of a table as they were last read, and the position up to which they are known, from which reads
 * go on and from which peers get what has changed.
 *
 * @example
 * mirror.apply({ kind: 'snapshot', rows }, { version: 7, era: 1 }, nowMs);
 * mirror.readSince({ version: 7, era: 1 }); // no rows
 */
export class TableMirror {
  private readonly rows = new Map<string, MirroredRow>();

  /** Removals before this version are not remembered. */
  private completeSince = 0;

  private currentPosition: TablePosition | undefined;

  private currentAtMs: number | undefined;

  constructor(readonly table: string) {}

  /** Undefined before the first read, and after the history was lost. */
  get position(): TablePosition | undefined {
    return this.currentPosition;
  }

  /** When the newest read that has been answered was sent; undefined before the first one. */
  get confirmedAtMs(): number | undefined {
    return this.currentAtMs;
  }

  /** Forgets the position, so that all rows are read again. */
  reset(): void {
    this.currentPosition = undefined;
  }

  /**
   * Applies what was read.
   *
   * @param requestedAtMs when the read was sent
   * @returns false if more is known already, as of two overlapping reads the older one may arrive last;
   *   then its rows are ignored
   */
  apply({ kind, rows }: TableContent, position: TablePosition, requestedAtMs: number): boolean {
    this.currentAtMs = Math.max(this.currentAtMs ?? requestedAtMs, requestedAtMs);
    const { currentPosition, completeSince } = this;
    const isOlder =
      currentPosition !== undefined &&
      position.era === currentPosition.era &&
      position.version < currentPosition.version;
    if (isOlder) return false;
    if (kind === 'snapshot') this.rows.clear();
    this.completeSince = kind === 'snapshot' ? position.version : completeSince;
    rows.forEach((row) => this.set(row, position.version));
    this.dropOldRemovals();
    this.currentPosition = position;
    return true;
  }

  /**
   * Returns what a reader lacks that knows everything up to a position.
   *
   * @param position undefined if the reader knows nothing
   */
  readSince(position: TablePosition | undefined): TableContent {
    const { currentPosition, completeSince } = this;
    const all = [...this.rows.values()];
    const isCovered =
      position !== undefined &&
      position.era === currentPosition?.era &&
      position.version >= completeSince;
    if (!isCovered) {
      const rows = all.map(({ row }) => row).filter(({ removed }) => !removed);
      return { kind: 'snapshot', rows };
    }
    const changed = all.filter(({ version }) => version > position.version);
    return { kind: 'changes', rows: changed.map(({ row }) => row) };
  }

  /** A row that came again moves to the end, so that the rows stay in the order of their versions. */
  private set(row: TableRow, version: number): void {
    this.rows.delete(row.key);
    this.rows.set(row.key, { row, version });
  }

  private dropOldRemovals(): void {
    const removed = [...this.rows.values()].filter(({ row }) => row.removed);
    removed.slice(0, Math.max(0, removed.length - MAX_REMOVED_ROWS)).forEach(({ row, version }) => {
      this.rows.delete(row.key);
      this.completeSince = Math.max(this.completeSince, version);
    });
  }
}
