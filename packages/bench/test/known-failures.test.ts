import { describe, expect, it } from 'vitest';
import { compareWithKnownFailures, parseKnownFailures } from '../src/testing/known-failures.js';

const text = [
  'Tests that fail for a fault that is not mended yet.',
  '',
  'test: a.test.ts > sums',
  'command: npm test',
  'seen: 3 in place of 4',
  'issue: 7',
].join('\n');

describe('KNOWN-RED.txt', () => {
  it('is parsed into entries', () => {
    expect(parseKnownFailures(text)).toEqual([
      { test: 'a.test.ts > sums', command: 'npm test', seen: '3 in place of 4', issue: '7' },
    ]);
  });

  it('treats only failures with an entry as known', () => {
    const outcomes = [
      { name: 'a.test.ts > sums', status: 'failed' },
      { name: 'a.test.ts > counts', status: 'failed' },
      { name: 'a.test.ts > lists', status: 'passed' },
    ];
    const summary = compareWithKnownFailures(outcomes, parseKnownFailures(text));
    expect(summary.known).toEqual(['a.test.ts > sums']);
    expect(summary.unexpected).toEqual(['a.test.ts > counts']);
  });

  it('reports an entry whose test passes as stale', () => {
    const outcomes = [{ name: 'a.test.ts > sums', status: 'passed' }];
    expect(compareWithKnownFailures(outcomes, parseKnownFailures(text)).stale).toEqual([
      'a.test.ts > sums',
    ]);
  });
});
