import type { ReadTiming } from '@savorywind/decisions';
import { Err, Ok, type Result } from '@savorywind/model';
import { afterEach, describe, expect, it } from 'vitest';
import { Containment } from '../../src/runtime/containment.js';
import { StoreEra } from '../../src/gateway/store/store-era.js';
import { TableMirror } from '../../src/gateway/store/table-mirror.js';
import { TableWatcher, type TableUpdate } from '../../src/gateway/store/table-watcher.js';
import type { TableClient, TableFailure, TableRows } from '../../src/gateway/store/types.js';

type ReadResult = Result<TableRows, TableFailure>;

const createRowsOf = (
  era: number | undefined,
  version: number,
  ...keys: readonly string[]
): ReadResult => {
  const rows = keys.map((key) => ({ key, value: new Uint8Array(), removed: false }));
  return Ok({ version, rows, era });
};

const createRows = (version: number, ...keys: readonly string[]): ReadResult =>
  createRowsOf(undefined, version, ...keys);

const createFailure = (kind: TableFailure['kind'], era?: number): ReadResult =>
  Err({ kind, detail: 'test', era });

const createTiming = (
  longPollMs: number,
  pollIntervalMs: number | undefined,
  changePauseMs = 0,
): ReadTiming => ({
  longPollMs,
  pollIntervalMs,
  responseTimeoutMs: 700,
  maxBackoffMs: 400,
  changePauseMs,
  maxRelayedAgeMs: 1_000,
});

let watcher: TableWatcher | undefined;

afterEach(() => watcher?.stop());

interface WatcherRun {
  readonly updates: readonly TableUpdate[];
  /** Reads that the watcher sent, in order. */
  readonly calls: readonly string[];
  /** Eras that began, each with the one before it. */
  readonly raisedEras: readonly (readonly [number, number])[];
}

const createTables = (reads: Pick<TableClient, 'readAll' | 'readChanges'>): TableClient => ({
  ...reads,
  putRow: () => Promise.resolve(Ok(undefined)),
  removeRow: () => Promise.resolve(Ok(undefined)),
  stop: () => {},
});

/** Runs a watcher until all results have been returned. */
const runWatcher = (results: readonly ReadResult[], changePauseMs = 0): Promise<WatcherRun> =>
  new Promise((resolve) => {
    const updates: TableUpdate[] = [];
    const calls: string[] = [];
    const raisedEras: [number, number][] = [];
    let nextResult = 0;
    const read = (call: string): Promise<ReadResult> => {
      const result = results[nextResult];
      nextResult += 1;
      if (result === undefined) {
        resolve({ updates, calls, raisedEras });
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
      containment: new Containment(() => {}),
      tables,
      mirror: new TableMirror('endpoints'),
      timing: createTiming(1_000, undefined, changePauseMs),
      era: new StoreEra((previous, current) => raisedEras.push([previous, current])),
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

  it('asks a store that has no history for a read of all rows again only after a pause', async () => {
    const startedAtMs = performance.now();
    const lost = createFailure('historyLost');
    await runWatcher([lost, lost, createRows(3, 'a')]);
    expect(performance.now() - startedAtMs).toBeGreaterThan(60 + 120 - 5);
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

describe('changes in quick succession', () => {
  it('are read with a pause after each read, so that many are read together', async () => {
    const startedAtMs = performance.now();
    const changes = [createRows(4, 'b'), createRows(5, 'c'), createRows(6, 'd')];
    await runWatcher([createRows(3, 'a'), ...changes], 50);
    expect(performance.now() - startedAtMs).toBeGreaterThan(3 * 50 - 5);
  });

  it('cause no pause after a long poll without changes', async () => {
    const none = createRows(3);
    const { calls } = await runWatcher([createRows(3, 'a'), none, none], 60_000);
    expect(calls).toEqual(['all', 'changes since 3', 'changes since 3']);
  });

  it('cause no pause before all rows are read in a new era', async () => {
    const results = [
      createRowsOf(1, 30, 'a'),
      createRowsOf(2, 31, 'skipped'),
      createRowsOf(2, 32, 'a', 'b'),
    ];
    const { calls } = await runWatcher(results, 60_000);
    expect(calls).toEqual(['all', 'changes since 30', 'all']);
  });
});

/** Lists the keys of each update that has rows. */
const listKeys = (updates: readonly TableUpdate[]): string[][] =>
  updates.flatMap((update) =>
    update.kind === 'failed' ? [] : [update.rows.map(({ key }) => key)],
  );

describe('a new era of the store', () => {
  it('makes all rows be read again, even if the version has been given out again', async () => {
    const results = [
      createRowsOf(1, 30, 'a'),
      createRowsOf(2, 31, 'skipped'),
      createRowsOf(2, 32, 'a', 'b'),
      createRowsOf(2, 33, 'c'),
    ];
    const { updates, calls, raisedEras } = await runWatcher(results);
    expect(calls).toEqual(['all', 'changes since 30', 'all', 'changes since 32']);
    expect(listKeys(updates)).toEqual([['a'], ['a', 'b'], ['c']]);
    expect(raisedEras).toEqual([[1, 2]]);
  });

  it('continues from its own versions although they are lower', async () => {
    const results = [
      createRowsOf(1, 30, 'a'),
      createFailure('historyLost', 2),
      createRowsOf(2, 7, 'a'),
      createRowsOf(2, 8, 'b'),
    ];
    const { calls } = await runWatcher(results);
    expect(calls).toEqual(['all', 'changes since 30', 'all', 'changes since 7']);
  });

  it('is noticed by a response that reports an error', async () => {
    const results = [
      createRowsOf(1, 30, 'a'),
      createFailure('refused', 2),
      createRowsOf(2, 7, 'b'),
    ];
    const { calls, raisedEras } = await runWatcher(results);
    expect(calls).toEqual(['all', 'changes since 30', 'all']);
    expect(raisedEras).toEqual([[1, 2]]);
  });

  it('discards what comes late from an older era', async () => {
    const results = [
      createRowsOf(2, 7, 'a'),
      createRowsOf(1, 30, 'late'),
      createFailure('historyLost', 1),
      createRowsOf(2, 8, 'b'),
    ];
    const { updates, calls } = await runWatcher(results);
    expect(listKeys(updates)).toEqual([['a'], ['b']]);
    expect(calls).toEqual(['all', ...Array<string>(3).fill('changes since 7')]);
  });

  it('may come twice', async () => {
    const results = [
      createRowsOf(1, 30, 'a'),
      createRowsOf(2, 31, 'b'),
      createRowsOf(3, 12, 'c'),
      createRowsOf(3, 13, 'd'),
    ];
    const { updates, calls, raisedEras } = await runWatcher(results);
    expect(calls).toEqual(['all', 'changes since 30', 'all', 'changes since 12']);
    expect(listKeys(updates)).toEqual([['a'], ['c'], ['d']]);
    expect(raisedEras).toHaveLength(2);
  });

  it('is not assumed for a response that names none; that one counts as failed', async () => {
    const results = [createRowsOf(1, 30, 'a'), createRows(31, 'b'), createRowsOf(1, 32, 'c')];
    const { updates, calls } = await runWatcher(results);
    expect(calls).toEqual(['all', 'changes since 30', 'changes since 30']);
    expect(updates.map(({ kind }) => kind)).toEqual(['snapshot', 'failed', 'changes']);
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
        containment: new Containment(() => {}),
        tables,
        mirror: new TableMirror('configuration'),
        timing: createTiming(10_000, 1),
        era: new StoreEra(() => {}),
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

  it('of a new era make a long poll that began in the older one be discarded', async () => {
    const calls: string[] = [];
    let answerLongPoll = (_result: ReadResult): void => {};
    const keys = await new Promise<string[][]>((resolve) => {
      const updates: TableUpdate[] = [];
      const tables = createTables({
        readAll: () => {
          calls.push('all');
          const isFirst = calls.length === 1;
          return Promise.resolve(isFirst ? createRowsOf(1, 30, 'a') : createRowsOf(2, 7, 'b'));
        },
        readChanges: (_table, since, waitMs) => {
          if (waitMs === 0) return Promise.resolve(createRowsOf(2, since));
          return new Promise((settle) => {
            answerLongPoll = settle;
          });
        },
      });
      watcher = new TableWatcher({
        containment: new Containment(() => {}),
        tables,
        mirror: new TableMirror('configuration'),
        timing: createTiming(10_000, 1),
        era: new StoreEra(() => answerLongPoll(createRowsOf(2, 31, 'skipped others'))),
        readClockMs: () => performance.now(),
        onUpdated: (update) => {
          updates.push(update);
          if (updates.length === 4) resolve(listKeys(updates));
        },
      });
      watcher.start();
    });
    expect(keys.flat()).not.toContain('skipped others');
    expect(keys.slice(0, 2)).toEqual([['a'], ['b']]);
  });

  it('return a change although the connection of the long poll is dead', async () => {
    const updates = await collectUpdates(createRows(5, 'b'));
    expect(updates[1]).toMatchObject({ kind: 'changes', rows: [{ key: 'b' }] });
  });
});
