import { describe, expect, it } from 'vitest';
import { AnswerProgress, type ChunkVerdict } from '../../src/requests/answer-progress.js';
import type { ChunkData } from '../../src/index.js';

type Chunk = readonly [offset: number, count: number, data: ChunkData];

const encode = (text: string): Uint8Array => new TextEncoder().encode(text);

const describeVerdict = (verdict: ChunkVerdict): string => {
  if (verdict.kind === 'skip') return 'skip';
  if (verdict.kind === 'fault') return verdict.fault;
  const { data } = verdict;
  return `pass ${typeof data === 'string' ? data : new TextDecoder().decode(data)}`;
};

const addChunks = (answer: AnswerProgress, chunks: readonly Chunk[]): string[] =>
  chunks.map((chunk) => describeVerdict(answer.addChunk(...chunk)));

describe('AnswerProgress', () => {
  it.each<[name: string, chunks: Chunk[], verdicts: string[]]>([
    [
      'passes text in order',
      [
        [0, 1, 'a'],
        [1, 1, 'b'],
      ],
      ['pass a', 'pass b'],
    ],
    [
      'skips data that arrives twice',
      [
        [0, 1, 'a'],
        [0, 1, 'a'],
      ],
      ['pass a', 'skip'],
    ],
    [
      'detects a gap',
      [
        [0, 1, 'a'],
        [2, 1, 'c'],
      ],
      ['pass a', 'gap'],
    ],
    [
      'does not cut overlapping text',
      [
        [0, 2, 'ab'],
        [1, 2, 'bc'],
      ],
      ['pass ab', 'overlap'],
    ],
    [
      'cuts overlapping bytes',
      [
        [0, 3, encode('abc')],
        [1, 4, encode('bcde')],
      ],
      ['pass abc', 'pass de'],
    ],
    [
      'detects a gap in bytes',
      [
        [0, 1, encode('a')],
        [5, 1, encode('f')],
      ],
      ['pass a', 'gap'],
    ],
  ])('%s', (_name, chunks, verdicts) => {
    expect(addChunks(new AnswerProgress(), chunks)).toEqual(verdicts);
  });

  it.each<[name: string, again: Chunk[], verdicts: string[], sentCount: number, total: number]>([
    [
      'sends only the rest of the same text',
      [
        [0, 1, 'ab'],
        [1, 1, 'cd'],
        [2, 1, 'ef'],
      ],
      ['skip', 'skip', 'pass ef'],
      3,
      3,
    ],
    [
      'sends the rest if the chunk boundaries differ',
      [
        [0, 1, 'abc'],
        [1, 1, 'def'],
      ],
      ['skip', 'pass ef'],
      2,
      2,
    ],
    [
      'detects a different text of the same length',
      [
        [0, 1, 'ab'],
        [1, 1, 'xx'],
      ],
      ['skip', 'diverged'],
      2,
      3,
    ],
    ['does not treat a shorter text as complete', [[0, 1, 'ab']], ['skip'], 2, 1],
  ])('after a restart %s', (_name, again, verdicts, sentCount, total) => {
    const answer = new AnswerProgress();
    addChunks(answer, [
      [0, 1, 'ab'],
      [1, 1, 'cd'],
    ]);
    answer.restart();
    expect(addChunks(answer, again)).toEqual(verdicts);
    expect(answer.sentCount).toBe(sentCount);
    expect(answer.isComplete(total)).toBe(verdicts.at(-1)?.startsWith('pass') === true);
  });

  it('distinguishes surrogate pairs that are split between chunks', () => {
    const answer = new AnswerProgress();
    addChunks(answer, [
      [0, 1, '\ud83d'],
      [1, 1, '\ude00'],
    ]);
    answer.restart();
    expect(addChunks(answer, [[0, 1, '\ud83d\ude01']])).toEqual(['diverged']);
  });
});
