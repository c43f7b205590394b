import type { EndpointId, EntryVm } from '../entities/types.js';

/** Revision of a row, incremented with each write; 0 means that there is no row. */
export type Revision = number;

/** A row of the platform's table service. */
export interface Row {
  readonly table: string;
  readonly key: string;
  readonly value: unknown;
  readonly revision: Revision;
}

/**
 * One operation on the table service. `insert` writes only if there is no row, `replace` only if
 * the row still has the given revision. Each operation is atomic. On a conflict it reports the
 * existing row, so that a conflict can be told apart from an own write whose reply was lost.
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

/** Outcome of one operation on the table service. */
export type TableOutcome =
  | { readonly kind: 'row'; readonly row: Row | undefined }
  | { readonly kind: 'rows'; readonly rows: readonly Row[] }
  | { readonly kind: 'written'; readonly row: Row }
  | { readonly kind: 'conflict'; readonly row: Row | undefined };

/** Entry of the platform's membership list for one VM; the list may be out of date. */
export interface MembershipEntry {
  /** Its incarnation is 0 if the platform does not know which incarnation it lists. */
  readonly vm: EntryVm;
  readonly state: 'live' | 'leaving';
}

/** Entry of the platform's membership list for the VM of one endpoint. */
export interface EndpointEntry {
  readonly endpoint: EndpointId;
  readonly state: 'live' | 'leaving';
}

/** A call to the platform: operations on tables, or a read of the membership list. */
export type PlatformCall =
  | { readonly kind: 'tables'; readonly operations: readonly TableOperation[] }
  | { readonly kind: 'membership' };

/** Reply to a {@link PlatformCall} of the same kind. */
export type PlatformReply =
  | { readonly kind: 'tables'; readonly outcomes: readonly TableOutcome[] }
  | {
      readonly kind: 'membership';
      readonly entries: readonly MembershipEntry[];
      /** Absent if the platform does not list the VMs of endpoints. */
      readonly endpoints?: readonly EndpointEntry[];
    };

/** `unsent`: certainly had no effect. `unanswered`: a write may have taken effect. */
export type PlatformFailure = 'unsent' | 'unanswered';

/** Names of the tables of savorywind in the platform's table service. */
export const tables = {
  configuration: 'savorywind.configuration',
  history: 'savorywind.configuration-history',
  claims: 'savorywind.claims',
  leases: 'savorywind.leases',
} as const;

/** Key of the configuration's head row. */
export const CONFIGURATION_HEAD_KEY = 'head';
