import type { ModelContract } from '@savorywind/model';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { createFakeClock, type FakeClock } from '../src/world/clock.js';
import { createEntryVmPlaces, createSmallConfiguration } from '../src/world/deployments.js';
import { CALM_NETWORK } from '../src/world/network.js';
import { World } from '../src/world/world.js';

/** Longest time until memory is back: the longest wait, a pause between sweeps, and calls. */
const RELEASE_LIMIT_MS = 40_000;

const contract: ModelContract = {
  kind: 'model',
  requestId: 'request-1',
  team: 'counter',
  timeoutMs: 300_000,
  digest: 'digest-1',
  model: 'assistant',
  promptTokens: 1_000,
  maxOutputTokens: 64,
  prefixDigests: [],
};

const sumUsedMemory = (world: World): number =>
  [...world.engines.values()].reduce((sum, { usedMemoryTokens }) => sum + usedMemoryTokens, 0);

describe('memory of engines', () => {
  let clock: FakeClock;
  let world: World;

  beforeEach(() => {
    clock = createFakeClock();
    world = new World({
      seed: 1,
      configuration: createSmallConfiguration(1),
      entryVms: createEntryVmPlaces(1),
      network: CALM_NETWORK,
    });
    clock.advance(5_000);
    world.request('entry-a1', contract);
    clock.advance(300);
    expect(sumUsedMemory(world)).toBeGreaterThan(0);
  });

  afterEach(() => clock.uninstall());

  it('comes back after the death of an entry VM, long before the deadline', () => {
    world.killEntryVm('entry-a1');
    clock.advance(RELEASE_LIMIT_MS);
    expect(sumUsedMemory(world)).toBe(0);
  });

  it('comes back sooner when its next incarnation is seen', () => {
    world.killEntryVm('entry-a1');
    world.startEntryVm('entry-a1');
    clock.advance(RELEASE_LIMIT_MS / 2);
    expect(sumUsedMemory(world)).toBe(0);
  });

  it('comes back while the platform is down', () => {
    world.platform.mode = 'down';
    world.killEntryVm('entry-a1');
    clock.advance(RELEASE_LIMIT_MS);
    expect(sumUsedMemory(world)).toBe(0);
  });
});
