import { describe, expect, it } from 'vitest';
import { createEngines, GatewayFleet } from '../fixtures/gateway-fleet.js';

const DOMAINS = ['a', 'b', 'c'];

describe('an engine that has named a limit of requests per second (LIMIT)', () => {
  it('does not get more than it allows from nine entry VMs together', () => {
    const fleet = new GatewayFleet({
      seed: 1,
      domains: DOMAINS,
      entryVmsPerDomain: 3,
      endpoints: createEngines(23, DOMAINS),
      requestsPerS: 35,
      path: '/chat/',
    });
    fleet.run(8_000);
    fleet.limit(fleet.listBusiest(3), 1);
    fleet.run(22_000);
    expect(fleet.outcomes.served).toBeGreaterThan(700);
    expect(fleet.violations).toEqual([]);
  });
});
