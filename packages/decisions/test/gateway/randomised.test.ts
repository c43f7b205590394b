import { describe, expect, it } from 'vitest';
import { GatewayWorld } from '../fixtures/gateway-world.js';

const SEEDS = Array.from({ length: 20 }, (_, index) => index + 1);
const STEPS = 1_500;

describe('randomised runs of the gateway', () => {
  it.each(SEEDS)('keep every promise to callers and endpoints, seed %i', (seed) => {
    const world = new GatewayWorld(seed);
    world.run(STEPS);
    expect(world.violations).toEqual([]);
  });
});
