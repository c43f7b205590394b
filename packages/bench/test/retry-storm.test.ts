import { describe, expect, it } from 'vitest';
import { runRetryStorm } from '../src/experiments/retries/retry-storm.js';

/** Attempts per admitted request. */
const MAX_AMPLIFICATION = 1.1;

describe('simultaneous crash of a third of the engines', () => {
  it('causes no retry storm and leaves no request without a response', () => {
    const report = runRetryStorm({
      seed: 1,
      requestsPerS: 20,
      outputTokens: 20,
      timeoutMs: 10_000,
      entryVmsPerDomain: 3,
      enginesPerDomain: 5,
      crashedFraction: 1 / 3,
    });
    report.phases.forEach(({ amplification }) =>
      expect(amplification).toBeLessThan(MAX_AMPLIFICATION),
    );
    expect(report.unanswered).toBe(0);
  });
});
