import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { ElapsedClock } from '../../src/gateway/elapsed-clock.js';

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['Date', 'performance'] });
});

afterEach(() => {
  vi.useRealTimers();
});

/** Moves only the wall clock, as a suspension or an operator does. */
const stepWallClock = (ms: number): void => {
  vi.setSystemTime(Date.now() + ms);
};

describe('ElapsedClock', () => {
  it('advances with the monotonic clock', () => {
    const clock = new ElapsedClock();
    const startMs = clock.readMs();
    vi.advanceTimersByTime(1_000);
    expect(clock.readMs() - startMs).toBe(1_000);
  });

  it('counts a suspension, during which the monotonic clock does not advance', () => {
    const clock = new ElapsedClock();
    const startMs = clock.readMs();
    stepWallClock(4_000);
    expect(clock.readMs() - startMs).toBe(4_000);
    vi.advanceTimersByTime(100);
    expect(clock.readMs() - startMs).toBe(4_100);
  });

  it('neither decreases nor loses time when the wall clock is set back', () => {
    const clock = new ElapsedClock();
    const startMs = clock.readMs();
    vi.advanceTimersByTime(500);
    stepWallClock(-60_000);
    expect(clock.readMs() - startMs).toBe(500);
    vi.advanceTimersByTime(500);
    expect(clock.readMs() - startMs).toBe(1_000);
  });

  it('returns suspended time only once', () => {
    const clock = new ElapsedClock();
    vi.advanceTimersByTime(1_000);
    stepWallClock(4_000);
    expect(clock.takeSuspendedMs()).toBe(4_000);
    expect(clock.takeSuspendedMs()).toBe(0);
  });

  it('ignores a small drift of the wall clock', () => {
    const clock = new ElapsedClock();
    const startMs = clock.readMs();
    stepWallClock(20);
    expect(clock.readMs() - startMs).toBe(0);
  });
});
