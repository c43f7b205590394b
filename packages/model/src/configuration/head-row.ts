import * as z from 'zod';
import type { Configuration, ConfigurationHead } from './schema.js';

/** Identifies one committed version. */
export interface VersionId {
  readonly version: number;
  /** Chosen by the operator's command. After a lost reply it shows whether the commit succeeded. */
  readonly changeId: string;
}

/**
 * Row that identifies the version in force. It is small because every entry VM polls it. The
 * document is in a separate row that is written first and never changed. A head row that is written
 * manually may contain its document.
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

/** Whether a value from the table service or a peer is a head row; its document is not validated. */
export const isHeadRow = (value: unknown): value is HeadRow =>
  headRowSchema.safeParse(value).success;

/** Row of the history: author, time, base version and summary of one change. */
export interface HistoryRow extends VersionId {
  readonly author: string;
  readonly committedAtMs: number;
  readonly base: VersionId | undefined;
  /** One line per added, changed or removed declaration, up to a limit. */
  readonly summary: readonly string[];
}

const HIGHEST_VERSION = 999_999_999;
const VERSION_DIGITS = 9;

/**
 * Formats the key of a history row. Scans return ascending keys, so the version is subtracted from
 * the highest possible one and the newest row comes first.
 *
 * @example
 * formatHistoryKey({ version: 7, changeId: 'c-1' }); // '999999992.c-1'
 */
export const formatHistoryKey = ({ version, changeId }: VersionId): string =>
  `${String(HIGHEST_VERSION - version).padStart(VERSION_DIGITS, '0')}.${changeId}`;

/** Row with the document of a change, written once and never changed. */
export interface DocumentRow {
  readonly baseVersion: number;
  readonly configuration: Configuration;
}

/**
 * Formats the key of the row with the document of a change. There is one row per change id, so that
 * a change id identifies one configuration and one base version.
 *
 * @example
 * formatDocumentKey('c-1'); // 'document/c-1'
 */
export const formatDocumentKey = (changeId: string): string => `document/${changeId}`;

/** Creates the head row of a committed version, without its document. */
export const formatHeadRow = (head: ConfigurationHead): HeadRow => {
  const { version, changeId, author, committedAtMs } = head;
  return { version, changeId, author, committedAtMs };
};
