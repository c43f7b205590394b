import { describe, expect, it } from 'vitest';
import { LARGE_FLEET } from '../fixtures/fleet-driver.js';
import { GatewaySimulation } from '../fixtures/gateway-simulation.js';

/** The number of seeds can be raised for long runs by hand. */
const SEEDS = Array.from({ length: Number(process.env.SEEDS ?? 20) }, (_, index) => index + 1);
const STEPS = 1_500;

describe('randomised simulations of the gateway', () => {
  it.each(SEEDS)('keep every guarantee to callers and endpoints, seed %i', (seed) => {
    const simulation = new GatewaySimulation(seed);
    simulation.run(STEPS);
    expect(simulation.violations).toEqual([]);
  });

  it.each(SEEDS)('keep every guarantee in a large fleet with slow links, seed %i', (seed) => {
    const simulation = new GatewaySimulation(seed, LARGE_FLEET);
    simulation.run(STEPS);
    expect(simulation.violations).toEqual([]);
  });
});
