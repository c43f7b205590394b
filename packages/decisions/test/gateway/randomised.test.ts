import { describe, expect, it } from 'vitest';
import { GatewaySimulation } from '../fixtures/gateway-simulation.js';

const SEEDS = Array.from({ length: 20 }, (_, index) => index + 1);
const STEPS = 1_500;

describe('randomised runs of the gateway', () => {
  it.each(SEEDS)('keep every promise to callers and endpoints, seed %i', (seed) => {
    const world = new GatewaySimulation(seed);
    world.run(STEPS);
    expect(world.violations).toEqual([]);
  });
});
