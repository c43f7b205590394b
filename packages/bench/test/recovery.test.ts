import type { ModelContract } from '@savorywind/model';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { createFakeClock, type FakeClock } from '../src/simulation/fake-clock.js';
import { createEntryVmDomains, createSmallConfiguration } from '../src/simulation/deployments.js';
import { RELIABLE_NETWORK } from '../src/simulation/fake-network.js';
import { Simulation } from '../src/simulation/simulation.js';

/** Maximum time until memory is released: wait for the stream, sweep interval and engine calls. */
const RELEASE_TIMEOUT_MS = 40_000;

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

const sumUsedMemory = (simulation: Simulation): number =>
  [...simulation.engines.values()].reduce((sum, { usedMemoryTokens }) => sum + usedMemoryTokens, 0);

describe('engine memory', () => {
  let clock: FakeClock;
  let simulation: Simulation;

  beforeEach(() => {
    clock = createFakeClock();
    simulation = new Simulation({
      seed: 1,
      configuration: createSmallConfiguration(1),
      entryVms: createEntryVmDomains(1),
      network: RELIABLE_NETWORK,
    });
    clock.advance(5_000);
    simulation.request('entry-a1', contract);
    clock.advance(300);
    expect(sumUsedMemory(simulation)).toBeGreaterThan(0);
  });

  afterEach(() => clock.uninstall());

  it('is released after an entry VM is killed, long before the deadline', () => {
    simulation.killEntryVm('entry-a1');
    clock.advance(RELEASE_TIMEOUT_MS);
    expect(sumUsedMemory(simulation)).toBe(0);
  });

  it('is released sooner when the next incarnation of the entry VM starts', () => {
    simulation.killEntryVm('entry-a1');
    simulation.startEntryVm('entry-a1');
    clock.advance(RELEASE_TIMEOUT_MS / 2);
    expect(sumUsedMemory(simulation)).toBe(0);
  });

  it('is released while the platform is down', () => {
    simulation.platform.mode = 'down';
    simulation.killEntryVm('entry-a1');
    clock.advance(RELEASE_TIMEOUT_MS);
    expect(sumUsedMemory(simulation)).toBe(0);
  });
});
