import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { DatagramTime } from '../../src/gateway/datagram-time.js';

let time: DatagramTime;
let nowMs: number;

beforeEach(() => {
  nowMs = 0;
  vi.spyOn(performance, 'now').mockImplementation(() => nowMs);
  time = new DatagramTime();
});

afterEach(() => {
  vi.restoreAllMocks();
});

/** Work on a datagram that takes 10 ms. */
const work = (): void => {
  nowMs += 10;
};

/** Reads datagrams for as long as the sender has time left, and counts them. */
const readAll = (sender: string): number => {
  let count = 0;
  while (time.hasLeft(sender) && count < 1_000) {
    count += 1;
    time.measure(sender, work);
  }
  return count;
};

describe('the processor time of datagrams', () => {
  it('is bounded for each sender, and others are still read', () => {
    expect(readAll('a')).toBe(5);
    expect(readAll('b')).toBe(5);
  });

  it('is bounded for all senders together', () => {
    const counts = Array.from({ length: 20 }, (_, index) => readAll(`sender-${index}`));
    expect(counts.reduce((sum, count) => sum + count, 0)).toBe(25);
  });

  it('is given again a second later', () => {
    readAll('a');
    nowMs = 999;
    expect(time.hasLeft('a')).toBe(false);
    nowMs = 1_000;
    expect(time.hasLeft('a')).toBe(true);
  });

  it('counts work that throws', () => {
    time.hasLeft('a');
    expect(() =>
      time.measure('a', () => {
        nowMs += 60;
        throw new Error('broken');
      }),
    ).toThrow('broken');
    expect(time.hasLeft('a')).toBe(false);
  });

  it('tells a bounded number of senders apart', () => {
    for (let index = 0; index < 4_096; index += 1) {
      time.hasLeft(`sender-${index}`);
      time.measure(`sender-${index}`, () => {});
    }
    expect(time.hasLeft('one more')).toBe(false);
    expect(time.hasLeft('sender-1')).toBe(true);
  });
});
