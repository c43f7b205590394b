import { beforeEach, describe, expect, it, vi } from 'vitest';
import { MemoryBudget } from '../../src/gateway/memory/memory-budget.js';
import { SlowReaders, type WaitingResponse } from '../../src/gateway/memory/slow-readers.js';

const BUDGET_BYTES = 1_000;
const MAX_BYTES = 300;

const createResponse = (): WaitingResponse => ({ close: vi.fn() });

let budget: MemoryBudget;
let readers: SlowReaders;
let closed: number;

beforeEach(() => {
  budget = new MemoryBudget(BUDGET_BYTES);
  closed = 0;
  const onClosed = (): void => {
    closed += 1;
  };
  readers = new SlowReaders({ budget, maxBytes: MAX_BYTES, onClosed });
});

// Without a bound, callers that read nothing take the memory of all others.
describe('responses that wait for their callers', () => {
  it('are counted until they wait no more', () => {
    const response = createResponse();
    readers.set(response, 100);
    readers.set(response, 150);
    expect([readers.usedBytes, budget.usedBytes]).toEqual([150, 150]);
    readers.remove(response);
    readers.remove(response);
    expect([readers.usedBytes, budget.usedBytes]).toEqual([0, 0]);
  });

  it('leave room to new requests', () => {
    for (let count = 0; count < 20; count += 1) readers.set(createResponse(), 100);
    expect(budget.reserve(BUDGET_BYTES - MAX_BYTES)).toBe(true);
  });

  it('are closed where they take too much, the one that has waited longest first', () => {
    const responses = Array.from({ length: 5 }, createResponse);
    responses.forEach((response) => readers.set(response, 100));
    expect(responses.map(({ close }) => vi.mocked(close).mock.calls.length)).toEqual([
      1, 1, 0, 0, 0,
    ]);
    expect(closed).toBe(2);
    expect(readers.usedBytes).toBe(MAX_BYTES);
  });

  it('are kept where the caller has read on since others wait', () => {
    const [slow, silent, other, last] = Array.from({ length: 4 }, createResponse);
    [slow!, silent!, other!].forEach((response) => readers.set(response, 100));
    readers.remove(slow!);
    readers.set(slow!, 100);
    readers.set(last!, 100);
    expect(slow!.close).not.toHaveBeenCalled();
    expect(silent!.close).toHaveBeenCalledOnce();
  });
});
