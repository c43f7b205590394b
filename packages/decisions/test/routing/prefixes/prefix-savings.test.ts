import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  estimatePrefixCost,
  estimateSavedMs,
  pickByPrefixCost,
} from '../../../src/routing/prefixes/prefix-savings.js';
import type { PrefixCandidate } from '../../../src/routing/prefixes/types.js';
import { estimatePrefillMs } from '../../../src/routing/work-estimate.js';
import { createEngine } from '../../fixtures/configurations.js';

const createCandidate = (overrides: Partial<PrefixCandidate> = {}): PrefixCandidate => ({
  engine: createEngine(),
  waitMs: 0,
  keptTokens: 0,
  probability: 1,
  freeTokens: 400_000,
  retainedTokens: 0,
  reuseFraction: 0.5,
  ...overrides,
});

const DEMAND = { promptTokens: 20_000, memoryTokens: 22_000 };

const anyCandidate = fc.record({
  waitMs: fc.double({ min: 0, max: 5_000, noNaN: true }),
  keptTokens: fc.integer({ min: 0, max: 64_000 }),
  probability: fc.double({ min: 0, max: 1, noNaN: true }),
  freeTokens: fc.integer({ min: 0, max: 400_000 }),
  retainedTokens: fc.integer({ min: 0, max: 400_000 }),
  reuseFraction: fc.double({ min: 0, max: 1, noNaN: true }),
});

const anyDemand = fc
  .record({
    promptTokens: fc.integer({ min: 1, max: 100_000 }),
    outputTokens: fc.integer({ min: 1, max: 4_000 }),
  })
  .map(({ promptTokens, outputTokens }) => ({
    promptTokens,
    memoryTokens: promptTokens + outputTokens,
  }));

describe('pickByPrefixCost', () => {
  it('goes to the engine that retains the prefix if it saves more than the longer wait', () => {
    const cold = createCandidate();
    const warm = createCandidate({ waitMs: 500, keptTokens: 16_384 });
    expect(pickByPrefixCost([cold, warm], DEMAND)).toBe(warm);
  });

  it('goes elsewhere if the wait exceeds the saving', () => {
    const cold = createCandidate();
    const warm = createCandidate({ waitMs: 1_000, keptTokens: 16_384 });
    expect(pickByPrefixCost([warm, cold], DEMAND)).toBe(cold);
  });

  it('counts the prefixes of others that the request displaces', () => {
    const full = createCandidate({ freeTokens: 100_000, retainedTokens: 100_000 });
    const empty = createCandidate({ waitMs: 100, freeTokens: 100_000 });
    expect(estimatePrefixCost(full, DEMAND).lossMs).toBeGreaterThan(100);
    expect(pickByPrefixCost([full, empty], DEMAND)).toBe(empty);
  });

  it('leaves out engines without memory for the request', () => {
    const warm = createCandidate({ keptTokens: 16_384, freeTokens: 21_999 });
    expect(pickByPrefixCost([warm], DEMAND)).toBeUndefined();
  });

  it('never picks an engine whose wait exceeds what its prefix saves, for any candidates', () => {
    fc.assert(
      fc.property(fc.array(anyCandidate, { maxLength: 12 }), anyDemand, (drawn, demand) => {
        const candidates = drawn.map((values) => createCandidate(values));
        const picked = pickByPrefixCost(candidates, demand);
        const withRoom = candidates.filter(({ freeTokens }) => freeTokens >= demand.memoryTokens);
        if (picked === undefined) return withRoom.length === 0;
        const savedMs = estimateSavedMs(picked, demand.promptTokens);
        return withRoom.every((other) => {
          const { costMs } = estimatePrefixCost(other, demand);
          // Rounding only: sums of figures up to 100,000 ms.
          return picked.waitMs - savedMs <= costMs + 1e-6 && withRoom.includes(picked);
        });
      }),
      { seed: 20_261_206, numRuns: 2_000 },
    );
  });

  it('saves at most the prefill of the prompt without its last token, and grows with what is kept', () => {
    fc.assert(
      fc.property(anyCandidate, anyDemand, (values, { promptTokens }) => {
        const candidate = createCandidate(values);
        const savedMs = estimateSavedMs(candidate, promptTokens);
        const more = createCandidate({ ...values, keptTokens: values.keptTokens + 1_024 });
        return (
          savedMs >= 0 &&
          savedMs <= estimatePrefillMs(candidate.engine, promptTokens - 1) &&
          estimateSavedMs(more, promptTokens) >= savedMs
        );
      }),
      { seed: 20_261_206, numRuns: 1_000 },
    );
  });
});
