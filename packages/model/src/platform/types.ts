import type { EndpointId, EntryVm } from '../world/types.js';

/** Raised by one with each write of a row; 0 stands for "no row". */
export type Revision = number;

export interface Row {
  readonly table: string;
  readonly key: string;
  readonly value: unknown;
  readonly revision: Revision;
}

/**
 * One operation on the table service. `insert` writes only where there is no row, `replace` only
 * where the row still has the revision given. Each is atomic by itself and reports the row that it
 * found, so that a lost race can be told from a lost answer.
 */
export type TableOperation =
  | { readonly kind: 'get'; readonly table: string; readonly key: string }
  | {
      readonly kind: 'scan';
      readonly table: string;
      readonly prefix: string;
      readonly limit: number;
    }
  | {
      readonly kind: 'insert';
      readonly table: string;
      readonly key: string;
      readonly value: unknown;
    }
  | {
      readonly kind: 'replace';
      readonly table: string;
      readonly key: string;
      readonly value: unknown;
      readonly revision: Revision;
    };

export type TableOutcome =
  | { readonly kind: 'row'; readonly row: Row | undefined }
  | { readonly kind: 'rows'; readonly rows: readonly Row[] }
  | { readonly kind: 'written'; readonly row: Row }
  | { readonly kind: 'conflict'; readonly row: Row | undefined };

/** What the platform's membership list says of one VM; it lags behind the truth. */
export interface MembershipEntry {
  /** Incarnation 0 where the platform does not know which life of the VM it lists. */
  readonly vm: EntryVm;
  readonly state: 'live' | 'leaving';
}

/** What the platform's membership list says of the VM of one endpoint. */
export interface EndpointEntry {
  readonly endpoint: EndpointId;
  readonly state: 'live' | 'leaving';
}

export type PlatformCall =
  | { readonly kind: 'tables'; readonly operations: readonly TableOperation[] }
  | { readonly kind: 'membership' };

export type PlatformReply =
  | { readonly kind: 'tables'; readonly outcomes: readonly TableOutcome[] }
  | {
      readonly kind: 'membership';
      readonly entries: readonly MembershipEntry[];
      /** Absent where the platform lists no VMs of endpoints. */
      readonly endpoints?: readonly EndpointEntry[];
    };

/** `unsent`: certainly had no effect. `unanswered`: a write may have taken effect. */
export type PlatformFailure = 'unsent' | 'unanswered';

/** Names of the tables that savorywind keeps in the platform's table service. */
export const tables = {
  configuration: 'savorywind.configuration',
  history: 'savorywind.configuration-history',
  claims: 'savorywind.claims',
  leases: 'savorywind.leases',
} as const;

export const CONFIGURATION_HEAD_KEY = 'head';
