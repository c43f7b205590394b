import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { ParsingTurns } from '../../src/gateway/callers/parsing-turns.js';

let turns: ParsingTurns;
let done: string[];
let nowMs: number;

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setImmediate'] });
  nowMs = 0;
  vi.spyOn(performance, 'now').mockImplementation(() => nowMs);
  turns = new ParsingTurns();
  done = [];
});

afterEach(() => {
  vi.restoreAllMocks();
  vi.useRealTimers();
});

/** Creates work that takes 3 ms. */
const createWork = (name: string) => (): void => {
  done.push(name);
  nowMs += 3;
};

/** Lets one turn of the event loop pass. */
const passTurn = async (): Promise<void> => {
  vi.advanceTimersToNextTimer();
  await new Promise<void>((resolve) => {
    process.nextTick(() =>
      process.nextTick(() => process.nextTick(() => process.nextTick(resolve))),
    );
  });
};

describe('connections that share the time of a turn', () => {
  it('are read at once while there is time', () => {
    turns.run('rest', createWork('a'));
    turns.run('first', createWork('b'));
    expect(done).toEqual(['a', 'b']);
  });

  it('wait for the next turn once the time is used up', async () => {
    ['a', 'b', 'c', 'd', 'e', 'f', 'g'].forEach((name) => turns.run('rest', createWork(name)));
    expect(done).toEqual(['a', 'b', 'c']);
    await passTurn();
    expect(done).toEqual(['a', 'b', 'c', 'd', 'e', 'f']);
    await passTurn();
    expect(done).toEqual(['a', 'b', 'c', 'd', 'e', 'f', 'g']);
  });

  it('are read first if something has just arrived from them', async () => {
    ['a', 'b', 'c', 'd', 'e'].forEach((name) => turns.run('rest', createWork(name)));
    turns.run('first', createWork('new'));
    await passTurn();
    expect(done).toEqual(['a', 'b', 'c', 'new', 'd', 'e']);
  });

  it('come after all others when they go on', async () => {
    ['a', 'b', 'c', 'd'].forEach((name) => turns.run('rest', createWork(name)));
    turns.run('rest', createWork('e'));
    turns.run('rest', createWork('d again'));
    await passTurn();
    expect(done.slice(3)).toEqual(['d', 'e', 'd again']);
  });

  it('go on although the work of one of them throws', async () => {
    ['a', 'b', 'c'].forEach((name) => turns.run('rest', createWork(name)));
    turns.run('rest', () => {
      throw new Error('broken');
    });
    turns.run('rest', createWork('d'));
    expect(() => vi.advanceTimersToNextTimer()).toThrow('broken');
    await passTurn();
    expect(done).toEqual(['a', 'b', 'c', 'd']);
  });

  it('take no turn once they are closed', async () => {
    ['a', 'b', 'c'].forEach((name) => turns.run('rest', createWork(name)));
    const closed = createWork('closed');
    turns.run('first', closed);
    turns.remove(closed);
    await passTurn();
    expect(done).toEqual(['a', 'b', 'c']);
  });
});
