import { describe, expect, it } from 'vitest';
import { runRandomised } from '../src/simulation/randomised-run.js';

const SEEDS = [11, 12, 13, 14];

describe('randomised run', () => {
  it.each(SEEDS)('violates no guarantee: seed %i', (seed) => {
    const report = runRandomised({
      seed,
      runs: 25,
      stepsPerRun: 200,
      entryVmsPerDomain: 3,
      enginesPerDomain: 2,
    });
    expect(report.failure).toBeUndefined();
    expect(report.steps).toBeGreaterThan(2_000);
  });
});
