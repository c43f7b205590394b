import { describe, expect, it } from 'vitest';
import { HeapWatch, type HeapUse } from '../../src/observe/heap-watch.js';

/** Counts the reports for a heap that is in use by these hundredths of its limit, one after the other. */
const countReports = (hundredths: readonly number[]): number => {
  let reports = 0;
  let use: HeapUse = { usedBytes: 0, limitBytes: 100 };
  const watch = new HeapWatch(
    () => {
      reports += 1;
    },
    () => use,
  );
  hundredths.forEach((usedBytes) => {
    use = { usedBytes, limitBytes: 100 };
    watch.check();
  });
  return reports;
};

describe('a heap that comes near its limit', () => {
  it('is reported once', () => {
    expect(countReports([50, 89, 91, 95, 99, 92])).toBe(1);
  });

  it('is reported again only after it was well below the limit', () => {
    expect(countReports([91, 85, 91, 80, 95])).toBe(1);
    expect(countReports([91, 70, 91])).toBe(2);
  });

  it('is not reported below', () => {
    expect(countReports([10, 89, 89])).toBe(0);
  });
});
