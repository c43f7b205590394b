import { describe, expect, it } from 'vitest';
import { EventOrder } from '../../src/gateway/endpoints/event-order.js';

const acceptAll = (
  lastId: string | undefined,
  ...ids: readonly (string | undefined)[]
): boolean[] => {
  const order = new EventOrder(lastId);
  return ids.map((id) => order.accept(id));
};

describe('the order of events', () => {
  it('accepts ids that increase, with or without gaps', () => {
    expect(acceptAll('0', '1', '5', '12')).toEqual([true, true, true]);
  });

  it('accepts any ids in a stream that is not resumed', () => {
    expect(acceptAll(undefined, '5', '5', '6')).toEqual([true, true, true]);
    expect(acceptAll(undefined, '3', '1', '2')).toEqual([true, true, true]);
  });

  it('refuses an id that the caller already has', () => {
    expect(acceptAll('7', '7')).toEqual([false]);
    expect(acceptAll('12', '9')).toEqual([false]);
    expect(acceptAll('2', '3', '3')).toEqual([true, false]);
    expect(acceptAll('b', 'b')).toEqual([false]);
  });

  it('accepts events without ids and ids that are no whole numbers', () => {
    expect(acceptAll('7', undefined, '8')).toEqual([true, true]);
    expect(acceptAll('b-7', 'b-1', '')).toEqual([true, true]);
  });
});
