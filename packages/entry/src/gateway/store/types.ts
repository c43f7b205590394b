import type { Result } from '@savorywind/model';

/** One row of a table in the platform's store. */
export interface TableRow {
  readonly key: string;
  /** Empty if the row was removed. */
  readonly value: Uint8Array;
  readonly removed: boolean;
}

/** Rows of a table, and the store version at which they were read. */
export interface TableRows {
  readonly rows: readonly TableRow[];
  readonly version: number;
  /** Era of the store, in which `version` counts; undefined if the response names none. */
  readonly era: number | undefined;
}

/**
 * Why a call to the store failed. `historyLost`: the store no longer has all changes since the given
 * version, so all rows must be read again. `refused`: the store responded with an error. `unanswered`:
 * no valid response arrived, so the call may have had an effect.
 */
export interface TableFailure {
  readonly kind: 'historyLost' | 'refused' | 'unanswered';
  readonly detail: string;
  /** Era of the store; undefined without a response, or if it names none. */
  readonly era: number | undefined;
}

/** Client of the tables in the platform's store. */
export interface TableClient {
  /**
   * Reads all rows of a table, in one era of the store.
   *
   * @param timeoutMs time for each response, in milliseconds
   */
  readAll(table: string, timeoutMs: number): Promise<Result<TableRows, TableFailure>>;
  /**
   * Reads the rows that changed after a version.
   *
   * @param waitMs how long the store waits for a change, in milliseconds; then there are no rows
   * @param timeoutMs time for the response beside the wait, in milliseconds
   */
  readChanges(
    table: string,
    sinceVersion: number,
    waitMs: number,
    timeoutMs: number,
  ): Promise<Result<TableRows, TableFailure>>;
  putRow(table: string, key: string, value: Uint8Array): Promise<Result<void, TableFailure>>;
  removeRow(table: string, key: string): Promise<Result<void, TableFailure>>;
  /** Closes connections, so that the process can exit. */
  stop(): void;
}
