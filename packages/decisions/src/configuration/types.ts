import type { Configuration, EntryVmId, HistoryRow, ResultCode, UnixMs } from '@savorywind/model';

/** A configuration change submitted by an operator. */
export interface ChangeRequest {
  /** Identifies the change. A change that is submitted again with the same id is committed once. */
  readonly changeId: string;
  /** Version that the change is based on; 0 if nothing was committed. */
  readonly baseVersion: number;
  readonly configuration: Configuration;
  readonly author: string;
  readonly submittedAtMs: UnixMs;
}

/** Outcome of a submitted change. */
export type ChangeOutcome =
  | { readonly kind: 'committed'; readonly version: number }
  | {
      readonly kind: 'refused';
      readonly code: ResultCode;
      /** Whether the change is committed; "unknown" if a reply of the store was lost. */
      readonly committed: 'no' | 'unknown';
      /** Version of the committed head, if it was read. */
      readonly version?: number;
    };

/** Committed versions that were read, newest first. */
export interface HistoryRead {
  readonly kind: 'read';
  readonly versions: readonly HistoryRow[];
}

/** Result of reading one committed version; `unknown` if there is no such version. */
export type VersionOutcome =
  | { readonly kind: 'read'; readonly configuration: Configuration }
  | { readonly kind: 'unknown' | 'unavailable' };

/** Result of reading the history; `unavailable` if the store failed. */
export type HistoryOutcome = HistoryRead | { readonly kind: 'unavailable' };

/** Version in force on an entry VM; undefined if it has not reported one. */
export interface VmVersion {
  readonly vm: EntryVmId;
  readonly version: number | undefined;
}
