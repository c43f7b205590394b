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

/** Rows read per requested version, since changes that lost a conflict also left rows. */
const ROWS_PER_VERSION = 3;

/** Follows the chain of versions back from the head, skipping rows of changes that lost a conflict. */
const listCommitted = (
  head: HeadRow | undefined,
  outcome: TableOutcome | undefined,
): HistoryRow[] => {
  const rows = outcome?.kind === 'rows' ? outcome.rows : [];
  const committed: HistoryRow[] = [];
  let expectedChangeId = head?.changeId;
  rows
    .map(({ value }) => value as HistoryRow)
    .forEach((row) => {
      if (row.changeId !== expectedChangeId) return;
      committed.push(row);
      expectedChangeId = row.base?.changeId;
    });
  return committed;
};

/** Reads up to `limit` committed versions, newest first. */
export const readHistory = (
  store: ConfigurationStore,
  limit: number,
  listener: (outcome: HistoryOutcome) => void,
): void => {
  const versionCount = Math.min(limit, MAX_HISTORY_LENGTH);
  const scan = {
    kind: 'scan',
    table: tables.history,
    prefix: '',
    limit: versionCount * ROWS_PER_VERSION,
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
      const versions = listCommitted(head.val?.row, reply.val[0]).slice(0, versionCount);
      listener({ kind: 'read', versions });
    });
  });
};

/** Reads the document of a committed version among the last `MAX_HISTORY_LENGTH` ones. */
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
