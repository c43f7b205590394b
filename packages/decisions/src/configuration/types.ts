import type { Configuration, EntryVmId, HistoryRow, ResultCode, UnixMs } from '@savorywind/model';

/** A change that an operator asks for. */
export interface ChangeAsk {
  /** Names the change; sent again with the same name it is committed at most once. */
  readonly changeId: string;
  /** The version that the operator saw; 0 where there was none. */
  readonly baseVersion: number;
  readonly configuration: Configuration;
  readonly author: string;
  readonly submittedAtMs: UnixMs;
}

/** What became of a change. */
export type ChangeOutcome =
  | { readonly kind: 'committed'; readonly version: number }
  | {
      readonly kind: 'refused';
      readonly code: ResultCode;
      /** Whether the change is committed: "unknown" where an answer of the store was lost. */
      readonly committed: 'no' | 'unknown';
      /** The version in force, where it was read. */
      readonly version?: number;
    };

/** Committed versions, newest first. */
export interface HistoryRead {
  readonly kind: 'read';
  readonly versions: readonly HistoryRow[];
}

/** The content of one committed version. */
export type VersionOutcome =
  | { readonly kind: 'read'; readonly configuration: Configuration }
  | { readonly kind: 'unknown' | 'unavailable' };

export type HistoryOutcome = HistoryRead | { readonly kind: 'unavailable' };

/** The version that an entry VM has; undefined where it has not told. */
export interface VmVersion {
  readonly vm: EntryVmId;
  readonly version: number | undefined;
}
