import { describe, expect, it } from 'vitest';
import { runRetryStorm } from '../src/experiments/retries/retry-storm.js';

const MAX_AMPLIFICATION = 1.1;

describe('a third of the engines that dies at once', () => {
  it('makes no retry storm, and leaves no request without an answer', () => {
    const report = runRetryStorm({
      seed: 1,
      requestsPerS: 20,
      outputTokens: 20,
      timeoutMs: 10_000,
      entryVmsPerDomain: 3,
      enginesPerDomain: 5,
      deadShare: 1 / 3,
    });
    report.windows.forEach(({ amplification }) =>
      expect(amplification).toBeLessThan(MAX_AMPLIFICATION),
    );
    expect(report.unanswered).toBe(0);
  });
});
