import * as z from 'zod';
import type { Configuration, ConfigurationHead } from './schema.js';

/** Names one committed version. */
export interface VersionId {
  readonly version: number;
  /** Chosen by the operator's command; makes a lost answer to a commit decidable. */
  readonly changeId: string;
}

/**
 * The one row that says which version is in force. Small, since every entry VM polls it; the
 * document stands in a row of its own that is written before and never changed. A head that is
 * written by hand may carry its document inline.
 */
export interface HeadRow extends VersionId {
  readonly author: string;
  readonly committedAtMs: number;
  readonly configuration?: Configuration;
}

const headRowSchema = z.looseObject({
  version: z.number().int().positive(),
  changeId: z.string().min(1),
  author: z.string(),
  committedAtMs: z.number(),
});

/** Whether a value from the table service or a peer names a version; its document is not checked. */
export const isHeadRow = (value: unknown): value is HeadRow =>
  headRowSchema.safeParse(value).success;

/** A row of the history: who changed what and when, and which version the change was based on. */
export interface HistoryRow extends VersionId {
  readonly author: string;
  readonly committedAtMs: number;
  readonly base: VersionId | undefined;
  /** One line for each declaration that was added, changed or removed, up to a limit. */
  readonly summary: readonly string[];
}

const HIGHEST_VERSION = 999_999_999;
const VERSION_DIGITS = 9;

/**
 * Key of a history row. A scan gives ascending keys, so the version is counted down from the
 * highest and the newest comes first.
 *
 * @example
 * formatHistoryKey({ version: 7, changeId: 'c-1' }); // '999999992.c-1'
 */
export const formatHistoryKey = ({ version, changeId }: VersionId): string =>
  `${String(HIGHEST_VERSION - version).padStart(VERSION_DIGITS, '0')}.${changeId}`;

/** The document of a change, written once and never altered. */
export interface DocumentRow {
  readonly baseVersion: number;
  readonly configuration: Configuration;
}

/**
 * Key of the row that holds the document of a change. One for each change id, so that a change id
 * stands for one configuration on one base.
 *
 * @example
 * formatDocumentKey('c-1'); // 'document/c-1'
 */
export const formatDocumentKey = (changeId: string): string => `document/${changeId}`;

/** The row of a head, without its document. */
export const formatHeadRow = (head: ConfigurationHead): HeadRow => {
  const { version, changeId, author, committedAtMs } = head;
  return { version, changeId, author, committedAtMs };
};
