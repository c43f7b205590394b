import {
  formatHistoryKey,
  parseConfiguration,
  tables,
  type DocumentRow,
  type HeadRow,
  type HistoryRow,
  type VersionId,
} from '@savorywind/model';
import type { ConfigurationStore } from './configuration-store.js';
import { MAX_VERSIONS_SEARCHED } from './consts.js';
import type { ChangeRequest } from './types.js';

/**
 * Whether a change is among the committed versions. `reused`: another change was committed with its
 * id. `undecided`: the search ended before it reached the base of the change, because the history
 * is incomplete or too long. `unavailable`: the store failed.
 */
export type ChangeSearchResult =
  | { readonly kind: 'committed'; readonly versionId: VersionId }
  | { readonly kind: 'reused' | 'absent' | 'undecided' | 'unavailable' };

/** Whether a document row belongs to this change: same configuration and same base version. */
export const matchesDocument = (
  request: ChangeRequest,
  document: DocumentRow | undefined,
): boolean => {
  const parsed = parseConfiguration(document?.configuration);
  if (parsed.err || document?.baseVersion !== request.baseVersion) return false;
  return JSON.stringify(parsed.val) === JSON.stringify(request.configuration);
};

/** Checks that a committed version with the change's id has the same document. */
const checkDocument = (
  store: ConfigurationStore,
  request: ChangeRequest,
  versionId: VersionId,
  listener: (result: ChangeSearchResult) => void,
): void =>
  store.readDocument(versionId.changeId, (reply) => {
    if (reply.err) listener({ kind: 'unavailable' });
    else if (matchesDocument(request, reply.val)) listener({ kind: 'committed', versionId });
    else listener({ kind: 'reused' });
  });

const findFrom = (
  store: ConfigurationStore,
  request: ChangeRequest,
  versionId: VersionId,
  versionsLeft: number,
  listener: (result: ChangeSearchResult) => void,
): void => {
  if (versionId.changeId === request.changeId) {
    checkDocument(store, request, versionId, listener);
    return;
  }
  if (versionId.version <= request.baseVersion + 1) {
    listener({ kind: 'absent' });
    return;
  }
  if (versionsLeft === 0) {
    listener({ kind: 'undecided' });
    return;
  }
  const target = { table: tables.history, key: formatHistoryKey(versionId) };
  store.apply([{ kind: 'get', ...target }], (reply) => {
    if (reply.err) {
      listener({ kind: 'unavailable' });
      return;
    }
    const [outcome] = reply.val;
    const row = outcome?.kind === 'row' ? (outcome.row?.value as HistoryRow) : undefined;
    if (row?.base === undefined) listener({ kind: 'undecided' });
    else findFrom(store, request, row.base, versionsLeft - 1, listener);
  });
};

/** Searches the versions from the head back to the change's base for the change. */
export const findChange = (
  store: ConfigurationStore,
  request: ChangeRequest,
  head: HeadRow,
  listener: (result: ChangeSearchResult) => void,
): void => findFrom(store, request, head, MAX_VERSIONS_SEARCHED, listener);
