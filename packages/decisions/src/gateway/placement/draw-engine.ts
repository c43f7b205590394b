import { countFreeSlots, isAtFillLimit, type EngineEstimate } from './placement-estimates.js';

/**
 * Free slots among which one is drawn, for each request that other entry VMs may have placed unseen. So
 * an engine is expected to get such requests for a quarter of its free slots at most.
 */
const FREE_SLOTS_PER_UNSEEN_REQUEST = 4;

/** Whether two engines may stand for each other: neither is worse in what callers notice. */
const isEquivalent = (a: EngineEstimate, b: EngineEstimate): boolean =>
  a.disruption === b.disruption && a.isLate === b.isLate && isAtFillLimit(a) === isAtFillLimit(b);

/** Lists the best engines whose free slots together are enough for what is unseen. */
const listPool = (
  ranked: readonly EngineEstimate[],
  unseenRequests: number,
): readonly EngineEstimate[] => {
  const wantedSlots = FREE_SLOTS_PER_UNSEEN_REQUEST * unseenRequests;
  const pool: EngineEstimate[] = [];
  let freeSlots = 0;
  for (const estimate of ranked) {
    if (freeSlots >= wantedSlots || !isEquivalent(estimate, ranked[0]!)) break;
    pool.push(estimate);
    freeSlots += countFreeSlots(estimate);
  }
  return pool;
};

/**
 * Draws one of the best engines, each as often as it has free slots. Entry VMs that decide at the same
 * time know the same loads, and would all choose the first one: its slots would not suffice, and the
 * requests would wait in the engine.
 *
 * @param ranked engines, the best one first
 * @param unseenRequests requests that other entry VMs may have placed without this one knowing
 * @param random uniform random number from 0 to 1
 * @returns undefined without engines
 *
 * @example
 * drawEngine(estimates, 8, 0.3); // one of those that have the first 32 free slots
 */
export const drawEngine = (
  ranked: readonly EngineEstimate[],
  unseenRequests: number,
  random: number,
): EngineEstimate | undefined => {
  const pool = listPool(ranked, unseenRequests);
  let left = random * pool.reduce((sum, estimate) => sum + countFreeSlots(estimate), 0);
  return (
    pool.find((estimate) => {
      left -= countFreeSlots(estimate);
      return left < 0;
    }) ?? pool.at(-1)
  );
};
