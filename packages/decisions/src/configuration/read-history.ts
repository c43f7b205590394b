import {
  parseConfiguration,
  tables,
  type HeadRow,
  type HistoryRow,
  type TableOutcome,
} from '@savorywind/model';
import type { ConfigurationStore } from './configuration-store.js';
import { MAX_HISTORY_LENGTH } from './consts.js';
import type { HistoryOutcome, VersionOutcome } from './types.js';

/** Rows read for each version wanted: changes that lost a race left rows that are not versions. */
const ROWS_PER_VERSION = 3;

/** Follows the versions from the head down; rows of changes that lost their race are left out. */
const listCommitted = (
  head: HeadRow | undefined,
  outcome: TableOutcome | undefined,
): HistoryRow[] => {
  const rows = outcome?.kind === 'rows' ? outcome.rows : [];
  const committed: HistoryRow[] = [];
  let wanted = head?.changeId;
  rows
    .map(({ value }) => value as HistoryRow)
    .forEach((row) => {
      if (row.changeId !== wanted) return;
      committed.push(row);
      wanted = row.base?.changeId;
    });
  return committed;
};

/** Reads the newest committed versions, newest first. */
export const readHistory = (
  store: ConfigurationStore,
  limit: number,
  listener: (outcome: HistoryOutcome) => void,
): void => {
  const wanted = Math.min(limit, MAX_HISTORY_LENGTH);
  const scan = {
    kind: 'scan',
    table: tables.history,
    prefix: '',
    limit: wanted * ROWS_PER_VERSION,
  } as const;
  store.readHead((head) => {
    if (head.err) {
      listener({ kind: 'unavailable' });
      return;
    }
    store.apply([scan], (reply) => {
      if (reply.err) {
        listener({ kind: 'unavailable' });
        return;
      }
      const versions = listCommitted(head.val?.row, reply.val[0]).slice(0, wanted);
      listener({ kind: 'read', versions });
    });
  });
};

/** Reads the content of a committed version, as far back as the history is read. */
export const readVersion = (
  store: ConfigurationStore,
  version: number,
  listener: (outcome: VersionOutcome) => void,
): void => {
  readHistory(store, MAX_HISTORY_LENGTH, (history) => {
    if (history.kind === 'unavailable') {
      listener(history);
      return;
    }
    const row = history.versions.find((found) => found.version === version);
    if (row === undefined) {
      listener({ kind: 'unknown' });
      return;
    }
    store.readDocument(row.changeId, (reply) => {
      if (reply.err) {
        listener({ kind: 'unavailable' });
        return;
      }
      const parsed = parseConfiguration(reply.val?.configuration);
      listener(parsed.ok ? { kind: 'read', configuration: parsed.val } : { kind: 'unknown' });
    });
  });
};
