import { beforeEach, describe, expect, it } from 'vitest';
import { MemoryBudget } from '../../src/gateway/memory/memory-budget.js';
import {
  UnfinishedBodies,
  type UnfinishedBody,
} from '../../src/gateway/memory/unfinished-bodies.js';

const BUDGET_BYTES = 100;
const OLD_MS = 1_000;

let nowMs: number;
let refused: string[];
let budget: MemoryBudget;
let bodies: UnfinishedBodies;

beforeEach(() => {
  nowMs = 0;
  refused = [];
  budget = new MemoryBudget(BUDGET_BYTES);
  const onRefused = (): void => {};
  bodies = new UnfinishedBodies({ budget, onRefused, readNowMs: () => nowMs });
});

/** Begins to read a body that holds so many bytes, of which a refusal releases some at once. */
const read = (name: string, heldBytes: number, releasedBytes = heldBytes): UnfinishedBody => {
  const refuse = (): void => {
    refused.push(name);
    bodies.release(releasedBytes);
  };
  const body = { heldBytes, refuse };
  bodies.reserve(heldBytes);
  bodies.addBody(body);
  return body;
};

describe('UnfinishedBodies', () => {
  it('refuses those that have been read longest, as many as the memory takes', () => {
    read('first', 40);
    read('second', 30);
    read('third', 30);
    nowMs = OLD_MS;
    expect(bodies.reserve(50)).toBe(true);
    expect(refused).toEqual(['first', 'second']);
    expect(budget.usedBytes).toBe(80);
  });

  it('refuses nobody while there is room', () => {
    read('first', 40);
    nowMs = OLD_MS;
    expect(bodies.reserve(60)).toBe(true);
    expect(refused).toEqual([]);
  });

  it('refuses none that has just begun, nor one that is complete', () => {
    bodies.removeBody(read('complete', 40));
    nowMs = 1;
    read('young', 60);
    nowMs = OLD_MS;
    expect(bodies.reserve(10)).toBe(false);
    expect(refused).toEqual([]);
    expect(budget.usedBytes).toBe(BUDGET_BYTES);
  });

  it('refuses nobody in vain', () => {
    read('first', 40);
    bodies.reserve(60);
    nowMs = OLD_MS;
    expect(bodies.reserve(50)).toBe(false);
    expect(refused).toEqual([]);
  });

  it('refuses no body for its own bytes', () => {
    const taker = read('taker', 60);
    read('other', 40);
    nowMs = OLD_MS;
    expect(bodies.reserve(30, taker)).toBe(true);
    expect(refused).toEqual(['other']);
  });

  it('counts what is given back later beyond the bound until then', () => {
    read('first', BUDGET_BYTES, 0);
    nowMs = OLD_MS;
    expect(bodies.reserve(50)).toBe(true);
    expect(budget.usedBytes).toBe(150);
  });
});
