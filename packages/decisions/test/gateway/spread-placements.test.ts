import { describe, expect, it } from 'vitest';
import { createEngines, GatewayFleet } from '../fixtures/gateway-fleet.js';

const DOMAINS = ['a', 'b'];

/** Links of 20 Mbit/s: a snapshot to all peers of a domain uses up the budget of some 50 ms. */
const SMALL_LINK_BYTES_PER_MS = 2_500;

/** Creates 60 entry VMs on small links before 52 engines that run eight requests each. */
const createFleet = (seed: number, requestsPerS: number): GatewayFleet =>
  new GatewayFleet({
    seed,
    domains: DOMAINS,
    entryVmsPerDomain: 30,
    endpoints: createEngines(52, DOMAINS).map((engine) => ({ ...engine, slots: 8 })),
    requestsPerS,
    contract: { linkBytesPerMs: SMALL_LINK_BYTES_PER_MS },
    drawRequest: (uniform) => ({ path: '/chat/', promptTokens: 2_000 + 8_000 * uniform }),
  });

describe('short prompts of a large fleet whose snapshots come late', () => {
  it.each([1, 2, 3])(
    'reach engines with a free slot when the load jumps up to two thirds of the slots, seed %i',
    (seed) => {
      const fleet = createFleet(seed, 40);
      fleet.run(4_000);
      fleet.changeLoad(100);
      for (let burst = 0; burst < 10; burst += 1) {
        fleet.sendAtOnce(10);
        fleet.run(100);
      }
      expect(fleet.outcomes.sent).toBeGreaterThan(250);
      expect(fleet.arrivalsWithoutSlot).toBeLessThan(0.01 * fleet.outcomes.sent);
    },
  );

  it('leave engines idle for long prompts while the load is low', () => {
    const fleet = createFleet(1, 30);
    fleet.run(8_000);
    expect(fleet.arrivals.size).toBeLessThan(52);
  });
});

describe('long prompts of a large fleet that arrive at the same time', () => {
  it.each([1, 2, 3])('are not prefilled by the same idle engines, seed %i', (seed) => {
    const fleet = new GatewayFleet({
      seed,
      domains: DOMAINS,
      entryVmsPerDomain: 30,
      endpoints: createEngines(52, DOMAINS),
      requestsPerS: 0.001,
      contract: { linkBytesPerMs: SMALL_LINK_BYTES_PER_MS },
      drawRequest: () => ({ path: '/review/', promptTokens: 50_000 }),
    });
    fleet.run(3_000);
    const before = fleet.outcomes.sent;
    fleet.sendAtOnce(8);
    fleet.run(500);
    expect(fleet.outcomes.sent - before).toBe(8);
    expect(Math.max(...fleet.arrivals.values())).toBeLessThanOrEqual(2);
  });

  it.each([1, 2, 3])('wait for no prefill of another domain that began before, seed %i', (seed) => {
    const fleet = new GatewayFleet({
      seed,
      domains: DOMAINS,
      entryVmsPerDomain: 30,
      endpoints: createEngines(12, ['b']),
      requestsPerS: 0.001,
      contract: { linkBytesPerMs: SMALL_LINK_BYTES_PER_MS },
      drawRequest: () => ({ path: '/review/', promptTokens: 50_000 }),
    });
    fleet.run(3_000);
    for (let prompt = 0; prompt < 10; prompt += 1) {
      fleet.sendAtOnce(1);
      fleet.run(20);
    }
    expect(fleet.outcomes.sent).toBeGreaterThanOrEqual(10);
    expect(Math.max(...fleet.arrivals.values())).toBe(1);
  });
});
