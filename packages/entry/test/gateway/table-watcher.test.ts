import { Err, Ok, type Result } from '@savorywind/model';
import { afterEach, describe, expect, it } from 'vitest';
import { TableWatcher, type TableUpdate } from '../../src/gateway/store/table-watcher.js';
import type { TableClient, TableFailure, TableRows } from '../../src/gateway/store/types.js';

type Answer = Result<TableRows, TableFailure>;

const createRows = (version: number, ...keys: readonly string[]): Answer =>
  Ok({ version, rows: keys.map((key) => ({ key, value: new Uint8Array(), removed: false })) });

const createFailure = (kind: TableFailure['kind']): Answer => Err({ kind, detail: 'test' });

let watch: TableWatcher | undefined;

afterEach(() => watch?.stop());

interface Watched {
  readonly updates: readonly TableUpdate[];
  /** What the watch asked, in order. */
  readonly calls: readonly string[];
}

const createTables = (reads: Pick<TableClient, 'readAll' | 'readChanges'>): TableClient => ({
  ...reads,
  putRow: () => Promise.resolve(Ok(undefined)),
  removeRow: () => Promise.resolve(Ok(undefined)),
  stop: () => {},
});

/** Lets a watch ask until the answers are used up. */
const runWatch = (answers: readonly Answer[]): Promise<Watched> =>
  new Promise((resolve) => {
    const updates: TableUpdate[] = [];
    const calls: string[] = [];
    let nextAnswer = 0;
    const answer = (call: string): Promise<Answer> => {
      const given = answers[nextAnswer];
      nextAnswer += 1;
      if (given === undefined) {
        resolve({ updates, calls });
        return new Promise(() => {});
      }
      calls.push(call);
      return Promise.resolve(given);
    };
    const tables = createTables({
      readAll: () => answer('all'),
      readChanges: (_table, since) => answer(`changes since ${since}`),
    });
    watch = new TableWatcher({
      tables,
      table: 'endpoints',
      longPollMs: 1_000,
      pollIntervalMs: undefined,
      readClockMs: () => performance.now(),
      onUpdated: (update) => updates.push(update),
    });
    watch.start();
  });

describe('a watch of a table', () => {
  it('reads it whole, then what changed since', async () => {
    const { updates, calls } = await runWatch([createRows(3, 'a'), createRows(5, 'b')]);
    expect(calls).toEqual(['all', 'changes since 3']);
    expect(updates.map(({ kind }) => kind)).toEqual(['snapshot', 'changes']);
  });

  it('reads it whole again where the store has forgotten its history', async () => {
    const answers = [createRows(3, 'a'), createFailure('historyLost'), createRows(9, 'b')];
    const { updates, calls } = await runWatch(answers);
    expect(calls).toEqual(['all', 'changes since 3', 'all']);
    expect(updates.map(({ kind }) => kind)).toEqual(['snapshot', 'snapshot']);
  });

  it('goes on from where it was after failures, and tells of each', async () => {
    const answers = [
      createRows(3, 'a'),
      createFailure('unanswered'),
      createFailure('refused'),
      createRows(4, 'b'),
    ];
    const { updates, calls } = await runWatch(answers);
    expect(calls).toEqual(['all', ...Array<string>(3).fill('changes since 3')]);
    expect(updates.map(({ kind }) => kind)).toEqual(['snapshot', 'failed', 'failed', 'changes']);
  });
});

describe('confirmations', () => {
  /** What confirmations answer until there are three; the store holds each long wait back. */
  const collectUpdates = (confirmation: Answer): Promise<readonly TableUpdate[]> =>
    new Promise((resolve) => {
      const updates: TableUpdate[] = [];
      const tables = createTables({
        readAll: () => Promise.resolve(createRows(3, 'a')),
        readChanges: (_table, _since, waitMs) =>
          waitMs === 0 ? Promise.resolve(confirmation) : new Promise(() => {}),
      });
      watch = new TableWatcher({
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
      watch.start();
    });

  it('prove what holds while a long wait is held back', async () => {
    const updates = await collectUpdates(createRows(3));
    const times = updates.flatMap((update) =>
      update.kind === 'failed' ? [] : update.requestedAtMs,
    );
    expect(times).toHaveLength(3);
    expect(times[2]).toBeGreaterThan(times[1]!);
  });

  it('bring a change although the connection of the long wait is dead', async () => {
    const updates = await collectUpdates(createRows(5, 'b'));
    expect(updates[1]).toMatchObject({ kind: 'changes', rows: [{ key: 'b' }] });
  });
});
