import { describe, expect, it } from 'vitest';
import { createColdFleet, type ColdFleet } from '../fixtures/cold-fleets.js';
import { createEngines } from '../fixtures/gateway-fleet.js';

const DOMAINS = ['a', 'b', 'c'];

/** Time until all entry VMs have read a registration. */
const SPREAD_MS = 400;

const listOf = ({ fleet }: ColdFleet, domain: string): string[] =>
  fleet.endpoints.filter(({ failureDomain }) => failureDomain === domain).map(({ id }) => id);

/** Has the engines of a failure domain come back after a second, cold for three seconds. */
const returnDomain = (cold: ColdFleet, domain: string): void =>
  cold.fleet.returnCold(listOf(cold, domain), {
    downMs: 1_000,
    coldMs: 3_000,
    spreadMs: SPREAD_MS,
  });

describe('an endpoint that comes back cold among 72 entry VMs (FAILBACK)', () => {
  it('gets no more than the bound in any second where the others are full', () => {
    const cold = createColdFleet({ endpoints: createEngines(3, DOMAINS), requestsPerS: 120 });
    cold.fleet.run(3_000);
    returnDomain(cold, 'a');
    cold.fleet.run(5_000);
    expect(cold.monitor.violations).toEqual([]);
    expect(cold.monitor.arrivals).toBeGreaterThan(14);
  });

  it('gets no more than the bound from both sides of a cut, as its domain is killed', () => {
    const cold = createColdFleet({ endpoints: createEngines(3, DOMAINS), requestsPerS: 120 });
    cold.fleet.run(3_000);
    returnDomain(cold, 'a');
    cold.fleet.run(1_300);
    cold.fleet.cut('a', 4_000);
    cold.fleet.run(300);
    Array.from({ length: 12 }, (_, vm) => cold.fleet.kill(vm, 300));
    cold.fleet.run(4_000);
    expect(cold.monitor.violations).toEqual([]);
  });
});

describe('a failure domain that comes back cold under a burst', () => {
  it('takes its part of the load, and no request is refused from then on', () => {
    const cold = createColdFleet({ endpoints: createEngines(45, DOMAINS), requestsPerS: 60 });
    cold.fleet.run(3_000);
    returnDomain(cold, 'a');
    cold.fleet.run(1_000);
    const { refused } = cold.fleet.outcomes;
    cold.fleet.changeLoad(130);
    cold.fleet.run(4_000);
    expect(cold.monitor.violations).toEqual([]);
    expect(cold.monitor.arrivals).toBeGreaterThan(30);
    expect(cold.fleet.outcomes.refused).toBe(refused);
  });
});

describe('a fleet whose engines are all cold', () => {
  it('uses them at once, without waiting for anything', () => {
    const cold = createColdFleet({ endpoints: createEngines(45, DOMAINS), requestsPerS: 100 });
    cold.fleet.run(3_000);
    DOMAINS.forEach((domain) => returnDomain(cold, domain));
    cold.fleet.run(1_000 + SPREAD_MS);
    const startMs = cold.fleet.nowMs;
    cold.fleet.run(2_500);
    const first = cold.fleet.firstAttempts.filter(({ atMs }) => atMs > startMs + 500);
    const onTime = first.filter(({ firstEventMs }) => firstEventMs < 250);
    expect(cold.monitor.violations).toEqual([]);
    expect(first.length).toBeGreaterThan(150);
    expect(onTime.length).toBeGreaterThan(0.9 * first.length);
  });
});
