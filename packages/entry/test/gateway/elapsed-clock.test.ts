import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { ElapsedClock } from '../../src/gateway/elapsed-clock.js';

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['Date', 'performance'] });
});

afterEach(() => {
  vi.useRealTimers();
});

/** Moves the time of day alone, as a freeze or an operator does. */
const stepTimeOfDay = (ms: number): void => {
  vi.setSystemTime(Date.now() + ms);
};

describe('the elapsed clock', () => {
  it('goes with the steady clock', () => {
    const clock = new ElapsedClock();
    const startMs = clock.readMs();
    vi.advanceTimersByTime(1_000);
    expect(clock.readMs() - startMs).toBe(1_000);
  });

  it('counts a freeze, in which the steady clock stands still', () => {
    const clock = new ElapsedClock();
    const startMs = clock.readMs();
    stepTimeOfDay(4_000);
    expect(clock.readMs() - startMs).toBe(4_000);
    vi.advanceTimersByTime(100);
    expect(clock.readMs() - startMs).toBe(4_100);
  });

  it('never falls and loses nothing where the time of day is set back', () => {
    const clock = new ElapsedClock();
    const startMs = clock.readMs();
    vi.advanceTimersByTime(500);
    stepTimeOfDay(-60_000);
    expect(clock.readMs() - startMs).toBe(500);
    vi.advanceTimersByTime(500);
    expect(clock.readMs() - startMs).toBe(1_000);
  });

  it('tells once what the steady clock has not counted', () => {
    const clock = new ElapsedClock();
    vi.advanceTimersByTime(1_000);
    stepTimeOfDay(4_000);
    expect(clock.takeSuspendedMs()).toBe(4_000);
    expect(clock.takeSuspendedMs()).toBe(0);
  });

  it('takes a time of day that drifts a little for no freeze', () => {
    const clock = new ElapsedClock();
    const startMs = clock.readMs();
    stepTimeOfDay(20);
    expect(clock.readMs() - startMs).toBe(0);
  });
});
