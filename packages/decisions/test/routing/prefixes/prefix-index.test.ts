import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { PrefixIndex } from '../../../src/routing/prefixes/prefix-index.js';

const RUNS = { seed: 20_261_206, numRuns: 500 } as const;

/** Digests of a prompt that shares its first blocks with others of the same session. */
const listDigests = (session: number, blocks: number): string[] =>
  Array.from({ length: blocks }, (_, index) => `${index === 0 ? 'common' : session}.${index}`);

const anyRecord = fc.record({
  engine: fc.integer({ min: 0, max: 5 }).map((index) => `engine-${index}`),
  session: fc.integer({ min: 0, max: 20 }),
  blocks: fc.integer({ min: 1, max: 12 }),
});

describe('PrefixIndex', () => {
  it('finds the longest part of a prompt that an engine has read', () => {
    const index = new PrefixIndex();
    index.record('engine-1', ['a', 'b'], 100, 1_000);
    index.record('engine-2', ['a'], 100, 2_000);
    expect(index.findHeld('engine-1', ['a', 'b', 'c'], 0)).toEqual({ blocks: 2, usedAtMs: 1_000 });
    expect(index.listHolders(['a', 'b', 'c'], 8)).toEqual(['engine-1', 'engine-2']);
    expect(index.findHeld('engine-1', ['x'], 0).blocks).toBe(0);
  });

  it('counts no block that was last used before the given time', () => {
    const index = new PrefixIndex();
    index.record('engine-1', ['a', 'b'], 100, 1_000);
    index.record('engine-1', ['a', 'x'], 100, 2_000);
    expect(index.findHeld('engine-1', ['a', 'b'], 1_500).blocks).toBe(1);
  });

  it('forgets what is as old as a block that the engine has dropped, and keeps what is newer', () => {
    const index = new PrefixIndex();
    index.record('engine-1', ['a'], 100, 1_000);
    index.record('engine-1', ['b'], 100, 2_000);
    index.record('engine-1', ['c'], 100, 3_000);
    index.dropUsedUntil('engine-1', 2_000);
    expect(['a', 'b', 'c'].map((digest) => index.findHeld('engine-1', [digest], 0).blocks)).toEqual(
      [0, 0, 1],
    );
  });

  it('ignores digests that are too long', () => {
    const index = new PrefixIndex();
    index.record('engine-1', ['x'.repeat(65)], 100, 1_000);
    expect(index.blockCount).toBe(0);
    expect(index.listEngines()).toEqual([]);
  });

  it('stays within its bounds, and keeps no block without the ones before it', () => {
    fc.assert(
      fc.property(fc.array(anyRecord, { maxLength: 120 }), (records) => {
        const index = new PrefixIndex(40);
        records.forEach(({ engine, session, blocks }, atMs) => {
          index.record(engine, listDigests(session, blocks), 15, atMs);
          expect(index.blockCount).toBeLessThanOrEqual(40);
          expect(index.countBlocks(engine)).toBeLessThanOrEqual(15);
        });
        const counts = index.listEngines().map((engine) => index.countBlocks(engine));
        expect(counts.reduce((sum, count) => sum + count, 0)).toBe(index.blockCount);
        records.forEach(({ engine, session, blocks }) => {
          const digests = listDigests(session, blocks);
          const { blocks: held } = index.findHeld(engine, digests, 0);
          const each = digests.slice(0, held).map((_, end) => digests.slice(end, end + 1));
          expect(each.every((digest) => index.findHeld(engine, digest, 0).blocks === 1)).toBe(true);
        });
      }),
      RUNS,
    );
  });

  it('knows nothing of an engine that was dropped', () => {
    fc.assert(
      fc.property(fc.array(anyRecord, { minLength: 1, maxLength: 60 }), (records) => {
        const index = new PrefixIndex();
        records.forEach(({ engine, session, blocks }, atMs) =>
          index.record(engine, listDigests(session, blocks), 100, atMs),
        );
        const lost = records[0]?.engine ?? '';
        index.dropEngine(lost);
        expect(index.listEngines()).not.toContain(lost);
        records.forEach(({ session, blocks }) => {
          const digests = listDigests(session, blocks);
          expect(index.findHeld(lost, digests, -Infinity).blocks).toBe(0);
          expect(index.listHolders(digests, 100)).not.toContain(lost);
        });
      }),
      RUNS,
    );
  });
});
