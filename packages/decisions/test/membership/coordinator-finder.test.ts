import type { EntryVm } from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import { CoordinatorFinder } from '../../src/membership/coordinator-finder.js';
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

const createFinder = (vms: readonly EntryVm[]): CoordinatorFinder => {
  const finder = new CoordinatorFinder(createTestContext().context, () => false);
  finder.updateLive(vms);
  return finder;
};

describe('CoordinatorFinder', () => {
  it('distributes engines evenly over the entry VMs of their failure domain', () => {
    const finder = createFinder([...createVms(4), ...createVms(4, 'b')]);
    const counts = new Map<string, number>();
    engines.forEach((engine) => {
      const coordinator = finder.findCoordinator(engine) ?? 'none';
      counts.set(coordinator, (counts.get(coordinator) ?? 0) + 1);
    });
    expect([...counts.keys()].sort()).toEqual(createVms(4).map(({ id }) => id));
    counts.forEach((count) => expect(count / (ENGINES / 4)).toBeCloseTo(1, 0));
  });

  it('reassigns only the engines of a removed entry VM and calls the listener once', () => {
    const finder = createFinder(createVms(4));
    const before = engines.map((engine) => finder.findCoordinator(engine));
    let changes = 0;
    finder.onChanged(() => {
      changes += 1;
    });
    finder.updateLive(createVms(3));
    finder.updateLive(createVms(3));
    expect(changes).toBe(1);
    engines.forEach((engine, index) => {
      if (before[index] !== 'entry-a4') expect(finder.findCoordinator(engine)).toBe(before[index]);
      else expect(finder.findCoordinator(engine)).not.toBe('entry-a4');
    });
  });

  it('finds a coordinator in another failure domain if the local one has no live entry VM', () => {
    expect(createFinder(createVms(2, 'b')).findCoordinator(createEngine())).toMatch(/^entry-b/);
    expect(createFinder([]).findCoordinator(createEngine())).toBeUndefined();
  });
});
