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
import type { ChangeAsk } from './types.js';

/**
 * Whether a change is among the committed versions. `reused`: its id is, with another document.
 * `undecided`: the history does not reach back to the change's base.
 */
export type ChangeSearchResult =
  | { readonly kind: 'committed'; readonly name: VersionId }
  | { readonly kind: 'reused' | 'absent' | 'undecided' | 'unavailable' };

/** Whether a document row holds the very change: the same configuration on the same base. */
export const matchesDocument = (ask: ChangeAsk, document: DocumentRow | undefined): boolean => {
  const parsed = parseConfiguration(document?.configuration);
  if (parsed.err || document?.baseVersion !== ask.baseVersion) return false;
  return JSON.stringify(parsed.val) === JSON.stringify(ask.configuration);
};

/** A change id that is found counts as the change only with the same document. */
const checkDocument = (
  store: ConfigurationStore,
  ask: ChangeAsk,
  name: VersionId,
  listener: (finding: ChangeSearchResult) => void,
): void =>
  store.readDocument(name.changeId, (reply) => {
    if (reply.err) listener({ kind: 'unavailable' });
    else if (matchesDocument(ask, reply.val)) listener({ kind: 'committed', name });
    else listener({ kind: 'reused' });
  });

const findFrom = (
  store: ConfigurationStore,
  ask: ChangeAsk,
  name: VersionId,
  left: number,
  listener: (finding: ChangeSearchResult) => void,
): void => {
  if (name.changeId === ask.changeId) {
    checkDocument(store, ask, name, listener);
    return;
  }
  if (name.version <= ask.baseVersion + 1) {
    listener({ kind: 'absent' });
    return;
  }
  if (left === 0) {
    listener({ kind: 'undecided' });
    return;
  }
  const place = { table: tables.history, key: formatHistoryKey(name) };
  store.apply([{ kind: 'get', ...place }], (reply) => {
    if (reply.err) {
      listener({ kind: 'unavailable' });
      return;
    }
    const [outcome] = reply.val;
    const row = outcome?.kind === 'row' ? (outcome.row?.value as HistoryRow) : undefined;
    if (row?.base === undefined) listener({ kind: 'undecided' });
    else findFrom(store, ask, row.base, left - 1, listener);
  });
};

/** Walks from the head down to the change's base, to see whether the change is among them. */
export const findChange = (
  store: ConfigurationStore,
  ask: ChangeAsk,
  head: HeadRow,
  listener: (finding: ChangeSearchResult) => void,
): void => findFrom(store, ask, head, MAX_VERSIONS_SEARCHED, listener);
