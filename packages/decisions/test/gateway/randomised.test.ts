import { describe, expect, it } from 'vitest';
import { LARGE_FLEET } from '../fixtures/fleet-driver.js';
import { GatewaySimulation } from '../fixtures/gateway-simulation.js';

/** The number of seeds can be raised for long runs by hand. */
const SEEDS = Array.from({ length: Number(process.env.SEEDS ?? 20) }, (_, index) => index + 1);
const STEPS = 1_500;

describe('randomised simulations of the gateway', () => {
  const openAtStops = { unplaced: 0, sent: 0, streaming: 0 };

  let harmfulRefusals = 0;

  const countOpen = ({ openAtStop, harmfulRefusals: refusals }: GatewaySimulation): void => {
    harmfulRefusals += refusals;
    openAtStops.unplaced += openAtStop.unplaced;
    openAtStops.sent += openAtStop.sent;
    openAtStops.streaming += openAtStop.streaming;
  };

  it.each(SEEDS)('keep every guarantee to callers and endpoints, seed %i', (seed) => {
    const simulation = new GatewaySimulation(seed);
    simulation.run(STEPS);
    countOpen(simulation);
    expect(simulation.violations).toEqual([]);
  });

  it.each(SEEDS)('keep every guarantee in a large fleet with slow links, seed %i', (seed) => {
    const simulation = new GatewaySimulation(seed, LARGE_FLEET);
    simulation.run(STEPS);
    countOpen(simulation);
    expect(simulation.violations).toEqual([]);
  });

  it('refused requests because endpoints were lost under others like them', () => {
    expect(harmfulRefusals).toBeGreaterThan(0);
  });

  it('ended stops with requests in every state', () => {
    expect(Object.entries(openAtStops).filter(([, count]) => count === 0)).toEqual([]);
  });
});
