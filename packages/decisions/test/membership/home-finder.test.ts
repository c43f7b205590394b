import type { EntryVm } from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import { HomeFinder } from '../../src/membership/home-finder.js';
import { createEngine } from '../fixtures/configurations.js';
import { createTestContext } from '../fixtures/contexts.js';
import { createEntryVm } from '../fixtures/contracts.js';

const ENGINES = 1_000;

const createVms = (count: number, failureDomain = 'a'): EntryVm[] =>
  Array.from({ length: count }, (_, index) =>
    createEntryVm({ id: `entry-${failureDomain}${index + 1}`, failureDomain }),
  );

const engines = Array.from({ length: ENGINES }, (_, index) =>
  createEngine({ id: `engine-a${index + 1}` }),
);

const createFinder = (vms: readonly EntryVm[]): HomeFinder => {
  const finder = new HomeFinder(createTestContext().context, () => false);
  finder.updateLive(vms);
  return finder;
};

describe('HomeFinder', () => {
  it('spreads engines evenly over the entry VMs of their failure domain', () => {
    const finder = createFinder([...createVms(4), ...createVms(4, 'b')]);
    const counts = new Map<string, number>();
    engines.forEach((engine) => {
      const home = finder.findHome(engine) ?? 'none';
      counts.set(home, (counts.get(home) ?? 0) + 1);
    });
    expect([...counts.keys()].sort()).toEqual(createVms(4).map(({ id }) => id));
    counts.forEach((count) => expect(count / (ENGINES / 4)).toBeCloseTo(1, 0));
  });

  it('moves only the homes of an entry VM that goes, and tells so once', () => {
    const finder = createFinder(createVms(4));
    const before = engines.map((engine) => finder.findHome(engine));
    let changes = 0;
    finder.onChanged(() => {
      changes += 1;
    });
    finder.updateLive(createVms(3));
    finder.updateLive(createVms(3));
    expect(changes).toBe(1);
    engines.forEach((engine, index) => {
      if (before[index] !== 'entry-a4') expect(finder.findHome(engine)).toBe(before[index]);
      else expect(finder.findHome(engine)).not.toBe('entry-a4');
    });
  });

  it('finds a home elsewhere where the failure domain has no live entry VM', () => {
    expect(createFinder(createVms(2, 'b')).findHome(createEngine())).toMatch(/^entry-b/);
    expect(createFinder([]).findHome(createEngine())).toBeUndefined();
  });
});
