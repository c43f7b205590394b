import { afterEach, describe, expect, it, vi } from 'vitest';
import { PlacementPolicy } from '../../src/gateway/placement/placement-policy.js';
import { createWork, startDriver } from '../fixtures/gateway-driver.js';

afterEach(() => {
  vi.restoreAllMocks();
});

describe('snapshots of peers', () => {
  it('do not each retry all queued placements, which would exhaust the processor', () => {
    const driver = startDriver('e1');
    const busy = [createWork('e1', { readers: 1, longReaders: 1, readMs: 2_000 })];
    driver.receiveSnapshot(1, busy);
    for (let count = 0; count < 10; count += 1) {
      driver.request('/review/', { promptTokens: 50_000, waitsMs: 15_000 });
    }
    expect(driver.list('attempt.start')).toHaveLength(0);
    const decide = vi.spyOn(PlacementPolicy.prototype, 'decide');
    for (let sequence = 2; sequence < 102; sequence += 1) driver.receiveSnapshot(sequence, busy);
    expect(decide).not.toHaveBeenCalled();
    driver.advance(20);
    expect(decide).toHaveBeenCalled();
  });
});
