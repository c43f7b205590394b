import type { Result } from '@savorywind/model';

/** One row of a table of the store. */
export interface TableRow {
  readonly key: string;
  /** Empty where the row was removed. */
  readonly value: Uint8Array;
  readonly removed: boolean;
}

/** Rows of a table, and the version of the store that they belong to. */
export interface TableRows {
  readonly rows: readonly TableRow[];
  readonly version: number;
}

/** Why a call to the store brought nothing. `historyLost`: read the whole table again. */
export interface TableFailure {
  readonly kind: 'historyLost' | 'refused' | 'unanswered';
  readonly detail: string;
}

/** Tables of the store that a platform runs. */
export interface TableClient {
  /** All rows of a table, of one moment. */
  readAll(table: string): Promise<Result<TableRows, TableFailure>>;
  /** Waits for rows that changed after a version; none where nothing changed in the time. */
  readChanges(
    table: string,
    sinceVersion: number,
    waitMs: number,
  ): Promise<Result<TableRows, TableFailure>>;
  putRow(table: string, key: string, value: Uint8Array): Promise<Result<void, TableFailure>>;
  removeRow(table: string, key: string): Promise<Result<void, TableFailure>>;
  /** Ends connections, so that the process can end. */
  stop(): void;
}
