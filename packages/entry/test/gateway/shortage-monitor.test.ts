import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { computeRoomLimits } from '../../src/gateway/memory/compute-room-limits.js';
import { ShortageMonitor } from '../../src/gateway/memory/shortage-monitor.js';

const LONGER_THAN_QUIET_MS = 6_000;

describe('a shortage of room', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('is reported once at its beginning and once at its end, with what was refused', () => {
    const begun = vi.fn();
    const ended = vi.fn();
    const monitor = new ShortageMonitor({ onBegun: begun, onEnded: ended });
    monitor.record('heads');
    vi.advanceTimersByTime(1_000);
    monitor.record('heads');
    monitor.record('requests');
    expect(begun.mock.calls).toEqual([['heads']]);
    expect(ended).not.toHaveBeenCalled();
    vi.advanceTimersByTime(LONGER_THAN_QUIET_MS);
    expect(ended.mock.calls).toEqual([
      [{ bodies: 0, heads: 2, readers: 0, requests: 1, connections: 0, descriptors: 0 }, 1],
    ]);
    monitor.record('connections');
    vi.advanceTimersByTime(LONGER_THAN_QUIET_MS);
    expect(begun).toHaveBeenCalledTimes(2);
    expect(ended.mock.calls[1]).toEqual([
      { bodies: 0, heads: 0, readers: 0, requests: 0, connections: 1, descriptors: 0 },
      0,
    ]);
    expect(monitor.refusals).toEqual({
      bodies: 0,
      heads: 2,
      readers: 0,
      requests: 1,
      connections: 1,
      descriptors: 0,
    });
  });
});

describe('the room of an entry VM', () => {
  it.each([
    [250_000_000, 65_000_000],
    [350_000_000, 115_000_000],
    [100_000_000, 0],
  ])('is a part of its memory: of %d bytes %d', (memoryBytes, expected) => {
    expect(computeRoomLimits({ memoryBytes, descriptors: undefined }).memoryBytes).toBe(expected);
  });

  it('takes 3,000 connections with 4,100 descriptors, and leaves sockets for endpoints and peers', () => {
    const room = computeRoomLimits({ memoryBytes: undefined, descriptors: 4_100 });
    expect(room.callerConnections).toBeGreaterThan(3_000);
    expect(room.callerConnections + room.peerConnections).toBeLessThan(3_900 - 600);
  });
});
