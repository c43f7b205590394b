import { Err, Ok, type Result } from '@savorywind/model';
import { afterEach, describe, expect, it } from 'vitest';
import { TableWatcher, type TableUpdate } from '../../src/gateway/store/table-watcher.js';
import type { TableClient, TableFailure, TableRows } from '../../src/gateway/store/types.js';

type ReadResult = Result<TableRows, TableFailure>;

const createRows = (version: number, ...keys: readonly string[]): ReadResult =>
  Ok({ version, rows: keys.map((key) => ({ key, value: new Uint8Array(), removed: false })) });

const createFailure = (kind: TableFailure['kind']): ReadResult => Err({ kind, detail: 'test' });

let watcher: TableWatcher | undefined;

afterEach(() => watcher?.stop());

interface WatcherRun {
  readonly updates: readonly TableUpdate[];
  /** Reads that the watcher sent, in order. */
  readonly calls: readonly string[];
}

const createTables = (reads: Pick<TableClient, 'readAll' | 'readChanges'>): TableClient => ({
  ...reads,
  putRow: () => Promise.resolve(Ok(undefined)),
  removeRow: () => Promise.resolve(Ok(undefined)),
  stop: () => {},
});

/** Runs a watcher until all results have been returned. */
const runWatcher = (results: readonly ReadResult[]): Promise<WatcherRun> =>
  new Promise((resolve) => {
    const updates: TableUpdate[] = [];
    const calls: string[] = [];
    let nextResult = 0;
    const read = (call: string): Promise<ReadResult> => {
      const result = results[nextResult];
      nextResult += 1;
      if (result === undefined) {
        resolve({ updates, calls });
        return new Promise(() => {});
      }
      calls.push(call);
      return Promise.resolve(result);
    };
    const tables = createTables({
      readAll: () => read('all'),
      readChanges: (_table, since) => read(`changes since ${since}`),
    });
    watcher = new TableWatcher({
      tables,
      table: 'endpoints',
      longPollMs: 1_000,
      pollIntervalMs: undefined,
      readClockMs: () => performance.now(),
      onUpdated: (update) => updates.push(update),
    });
    watcher.start();
  });

describe('TableWatcher', () => {
  it('reads all rows, then the changes since', async () => {
    const { updates, calls } = await runWatcher([createRows(3, 'a'), createRows(5, 'b')]);
    expect(calls).toEqual(['all', 'changes since 3']);
    expect(updates.map(({ kind }) => kind)).toEqual(['snapshot', 'changes']);
  });

  it('reads all rows again if the store no longer has the history', async () => {
    const results = [createRows(3, 'a'), createFailure('historyLost'), createRows(9, 'b')];
    const { updates, calls } = await runWatcher(results);
    expect(calls).toEqual(['all', 'changes since 3', 'all']);
    expect(updates.map(({ kind }) => kind)).toEqual(['snapshot', 'snapshot']);
  });

  it('reports each failure and continues from its last version', async () => {
    const results = [
      createRows(3, 'a'),
      createFailure('unanswered'),
      createFailure('refused'),
      createRows(4, 'b'),
    ];
    const { updates, calls } = await runWatcher(results);
    expect(calls).toEqual(['all', ...Array<string>(3).fill('changes since 3')]);
    expect(updates.map(({ kind }) => kind)).toEqual(['snapshot', 'failed', 'failed', 'changes']);
  });
});

describe('polls between long polls', () => {
  /** Collects three updates from a store that never answers a long poll. */
  const collectUpdates = (pollResult: ReadResult): Promise<readonly TableUpdate[]> =>
    new Promise((resolve) => {
      const updates: TableUpdate[] = [];
      const tables = createTables({
        readAll: () => Promise.resolve(createRows(3, 'a')),
        readChanges: (_table, _since, waitMs) =>
          waitMs === 0 ? Promise.resolve(pollResult) : new Promise(() => {}),
      });
      watcher = new TableWatcher({
        tables,
        table: 'configuration',
        longPollMs: 10_000,
        pollIntervalMs: 1,
        readClockMs: () => performance.now(),
        onUpdated: (update) => {
          updates.push(update);
          if (updates.length === 3) resolve(updates);
        },
      });
      watcher.start();
    });

  it('prove that rows are current while a long poll waits', async () => {
    const updates = await collectUpdates(createRows(3));
    const times = updates.flatMap((update) =>
      update.kind === 'failed' ? [] : update.requestedAtMs,
    );
    expect(times).toHaveLength(3);
    expect(times[2]).toBeGreaterThan(times[1]!);
  });

  it('return a change although the connection of the long poll is dead', async () => {
    const updates = await collectUpdates(createRows(5, 'b'));
    expect(updates[1]).toMatchObject({ kind: 'changes', rows: [{ key: 'b' }] });
  });
});
