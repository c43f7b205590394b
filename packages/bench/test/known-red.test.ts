import { describe, expect, it } from 'vitest';
import { decideVerdict, parseKnownRed } from '../src/testing/known-red.js';

const text = [
  'Tests that fail for a fault that is not mended yet.',
  '',
  'test: a.test.ts > sums',
  'command: npm test',
  'seen: 3 in place of 4',
  'issue: 7',
].join('\n');

describe('KNOWN-RED.txt', () => {
  it('is read entry by entry', () => {
    expect(parseKnownRed(text)).toEqual([
      { test: 'a.test.ts > sums', command: 'npm test', seen: '3 in place of 4', issue: '7' },
    ]);
  });

  it('passes over the named failure and no other', () => {
    const outcomes = [
      { name: 'a.test.ts > sums', status: 'failed' },
      { name: 'a.test.ts > counts', status: 'failed' },
      { name: 'a.test.ts > lists', status: 'passed' },
    ];
    const verdict = decideVerdict(outcomes, parseKnownRed(text));
    expect(verdict.known).toEqual(['a.test.ts > sums']);
    expect(verdict.unexpected).toEqual(['a.test.ts > counts']);
  });

  it('reports an entry whose test passes', () => {
    const outcomes = [{ name: 'a.test.ts > sums', status: 'passed' }];
    expect(decideVerdict(outcomes, parseKnownRed(text)).stale).toEqual(['a.test.ts > sums']);
  });
});
